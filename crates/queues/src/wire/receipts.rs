//! Receipts: the list of answered messages that a connection publishes in the same transaction as the answers.

use crate::message::MessageKey;
use crate::progress::ConsumerId;

/// Name of the queue that holds the receipts of one connection.
pub fn queue_name(consumer: ConsumerId) -> String {
    format!("cometlead.receipts.{consumer}")
}

/// Encodes a receipt: one message key per line.
pub fn encode(keys: &[MessageKey]) -> Vec<u8> {
    let lines: Vec<String> = keys.iter().map(MessageKey::to_string).collect();
    lines.join("\n").into_bytes()
}

/// Decodes a receipt. Lines that are not message keys are skipped.
pub fn decode(body: &[u8]) -> Vec<MessageKey> {
    let text = std::str::from_utf8(body).unwrap_or_default();
    text.lines().filter_map(|line| line.parse().ok()).collect()
}
