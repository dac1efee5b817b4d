//! One message in hand.

use crate::answer::{Answer, DeadLetter, Notice, Outcome, Post, Progress};
use crate::front::{Call, Micros, QueueRule, Tag, WithoutReply};
use crate::message::{Key, Message, Wish};

/// Where a message stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It is in the schedule, or is left to whoever gets it next.
    Due,
    /// The controllers are asked.
    Asked(Call),
    /// It is known how it ended; the right to answer it is being written.
    Sealing,
    /// Another connection has sealed it, and it must be known whether that has answered it.
    Doubt,
    /// The right is there; the transaction waits for its turn.
    Sealed,
    /// The transaction is on its way.
    Committing,
    /// It is answered, by this connection; the mark is being written.
    Answered,
    /// There is nothing left to do but to acknowledge its deliveries.
    Settled,
}

/// A message with all that is known of it.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub message: Message,
    pub rule: QueueRule,
    pub wish: Wish,
    /// Its place in the order of arrival.
    pub order: u64,
    pub since: Micros,
    pub accepted: Option<Micros>,
    pub outcome: Option<Outcome>,
    /// Deliveries that are not acknowledged.
    pub tags: Vec<Tag>,
    pub tries: u32,
    pub repeated: bool,
    /// The interim answers that were sent: accepted, delayed.
    pub told: (bool, bool),
    pub stage: Stage,
}

impl Item {
    pub fn job(&self) -> Option<&str> {
        match &self.wish {
            Wish::Submit { job, .. } | Wish::Cancel(job) => Some(job),
            Wish::Refuse(_) => None,
        }
    }

    /// Whether there is anything to say to anybody, which only one may do.
    pub fn is_to_be_told(&self) -> bool {
        let refused = matches!(self.outcome, Some(Outcome::Refused(_)));
        self.message.reply_to.is_some() || refused && self.rule.dead_letter.is_some()
    }

    /// Whether its deliveries may be acknowledged as soon as the job is accepted.
    pub fn ends_with_acceptance(&self) -> bool {
        self.message.reply_to.is_none() && self.rule.without_reply == WithoutReply::Accepted
    }

    pub fn post(&self, of: Key) -> Option<Post> {
        let outcome = self.outcome.clone()?;
        if let Some(to) = self.message.reply_to.clone() {
            let correlation = self.message.correlation.clone();
            let job = self.job().map(str::to_owned);
            return Some(Post::Answer(Answer {
                to,
                correlation,
                of,
                job,
                outcome,
                repeated: self.repeated,
            }));
        }
        let Outcome::Refused(reason) = outcome else {
            return None;
        };
        let to = self.rule.dead_letter.clone()?;
        Some(Post::Dead(DeadLetter {
            to,
            of,
            reason,
            body: self.message.body.clone(),
        }))
    }

    /// An interim answer, each kind once.
    pub fn notice(&mut self, of: Key, progress: Progress) -> Option<Notice> {
        let told = match progress {
            Progress::Accepted => &mut self.told.0,
            Progress::Delayed(_) => &mut self.told.1,
        };
        if !self.message.interim || std::mem::replace(told, true) {
            return None;
        }
        let to = self.message.reply_to.clone()?;
        let correlation = self.message.correlation.clone();
        Some(Notice {
            to,
            correlation,
            of,
            job: self.job().map(str::to_owned),
            progress,
        })
    }
}
