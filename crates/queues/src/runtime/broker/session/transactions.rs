//! Transactions: acknowledgements, status updates, final answers and own receipts that take effect together.

use super::Session;
use crate::message::MessageKey;
use crate::reply::Publication;
use crate::runtime::broker::{ConnectionError, with_timeout};
use crate::state_machine::BrokerTransaction;
use crate::wire::amqp::{
    dead_letter_properties, final_answer_body, receipt_properties, reply_properties,
    status_update_body,
};
use crate::wire::receipts::{encode, queue_name};
use amqprs::BasicProperties;
use amqprs::channel::{BasicAckArguments, BasicPublishArguments};

impl Session<'_> {
    /// Carries out a transaction of the broker, and waits for its confirmation.
    pub(super) async fn commit(
        &self,
        transaction: BrokerTransaction,
    ) -> Result<(), ConnectionError> {
        let answered: Vec<MessageKey> = transaction
            .publications
            .iter()
            .map(Publication::message)
            .collect();
        let obsolete = self
            .own_receipts
            .lock()
            .remove_obsolete(&transaction.obsolete_receipts);
        for tag in transaction.acks.into_iter().chain(obsolete) {
            let acknowledged = BasicAckArguments::new(tag, false);
            with_timeout(self.channel.basic_ack(acknowledged)).await?;
        }
        for update in &transaction.status_updates {
            let properties = reply_properties(update.message, update.correlation_id.as_deref());
            self.publish(&update.reply_to, properties, status_update_body(update))
                .await?;
        }
        for publication in &transaction.publications {
            self.publish_final(publication).await?;
        }
        self.publish_receipt(&answered).await?;
        with_timeout(self.channel.tx_commit()).await
    }

    async fn publish_final(&self, publication: &Publication) -> Result<(), ConnectionError> {
        match publication {
            Publication::Answer(answer) => {
                let properties = reply_properties(answer.message, answer.correlation_id.as_deref());
                self.publish(&answer.reply_to, properties, final_answer_body(answer))
                    .await
            }
            Publication::DeadLetter(letter) => {
                let properties = dead_letter_properties(letter);
                self.publish(&letter.queue, properties, letter.body.clone())
                    .await
            }
        }
    }

    async fn publish_receipt(&self, answered: &[MessageKey]) -> Result<(), ConnectionError> {
        match self.own_id {
            Some(own_id) if !answered.is_empty() => {
                let queue = queue_name(own_id);
                self.publish(&queue, receipt_properties(), encode(answered))
                    .await
            }
            _ => Ok(()),
        }
    }

    async fn publish(
        &self,
        queue: &str,
        properties: BasicProperties,
        body: Vec<u8>,
    ) -> Result<(), ConnectionError> {
        let arguments = BasicPublishArguments::new("", queue);
        with_timeout(self.channel.basic_publish(properties, body, arguments)).await
    }
}
