//! A message from its first delivery until its deliveries are acknowledged.

use crate::limits::{QueueRule, WithoutReply};
use crate::message::{InvalidRequest, JobRequest, Message, MessageKey};
use crate::reply::{DeadLetter, FinalAnswer, Outcome, Progress, Publication, StatusUpdate};
use crate::schedule::ScheduledRequest;
use crate::state_machine::{DeliveryTag, RequestId};
use crate::time::Micros;

/// Processing stage of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A request to the controllers is scheduled, or left to another process during shutdown.
    Scheduled,
    /// A request to the controllers is in flight.
    RequestInFlight(RequestId),
    /// The outcome is known; the claim is being written to the log.
    Claiming,
    /// Another consumer has claimed the message, and it is unknown whether it has answered.
    AwaitingClaimant,
    /// The claim is in the log; the message waits for the next transaction.
    Claimed,
    /// The transaction with the answer is in flight.
    Committing,
    /// This consumer has answered; that is being written to the log.
    Answered,
    /// Nothing is left to do but to acknowledge its deliveries.
    Settled,
}

/// Kinds of status updates that were published already.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedProgress {
    accepted: bool,
    delayed: bool,
}

/// A message with everything that is known about it.
#[derive(Clone, Debug)]
pub(crate) struct PendingMessage {
    pub message: Message,
    pub rule: QueueRule,
    pub request: Result<JobRequest, InvalidRequest>,
    /// Its number in the order of arrival.
    pub arrival: u64,
    pub received_at: Micros,
    /// When the controllers accepted the job.
    pub accepted_at: Option<Micros>,
    pub outcome: Option<Outcome>,
    /// Deliveries of the message, and of copies of it, that are not acknowledged yet.
    pub unacked: Vec<DeliveryTag>,
    /// Number of consecutive requests to the controllers that had to be repeated.
    pub attempts: u32,
    /// The answer may have been published before.
    pub maybe_duplicate: bool,
    reported: ReportedProgress,
    pub stage: Stage,
}

impl PendingMessage {
    /// A message that was delivered just now.
    pub fn new(
        mut message: Message,
        rule: QueueRule,
        tag: DeliveryTag,
        arrival: u64,
        now: Micros,
    ) -> PendingMessage {
        let request = message.job_request();
        // The request has its own copy of the body; the original is needed only for a dead letter.
        if message.reply_to.is_some() || rule.dead_letter.is_none() {
            message.body = Vec::new();
        }
        PendingMessage {
            message,
            rule,
            request,
            arrival,
            received_at: now,
            accepted_at: None,
            outcome: None,
            unacked: vec![tag],
            attempts: 0,
            maybe_duplicate: false,
            reported: ReportedProgress::default(),
            stage: Stage::Scheduled,
        }
    }

    /// The job's id, if the message names a valid one.
    pub fn job(&self) -> Option<&str> {
        self.request.as_ref().ok().map(JobRequest::job)
    }

    /// Its submission or cancellation, for the schedule.
    pub fn submission(&self) -> ScheduledRequest {
        ScheduledRequest::Submit {
            rank: self.rule.rank,
            arrival: self.arrival,
        }
    }

    pub fn is_refused(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Refused(_)))
    }

    /// Whether something has to be published, which only the claimant may do.
    pub fn needs_publication(&self) -> bool {
        self.message.reply_to.is_some() || self.is_refused() && self.rule.dead_letter.is_some()
    }

    /// Whether its deliveries may be acknowledged as soon as the job is accepted.
    pub fn is_settled_on_acceptance(&self) -> bool {
        self.message.reply_to.is_none() && self.rule.without_reply == WithoutReply::Accepted
    }

    /// How long the job is expected to run.
    pub fn estimated_runtime(&self) -> Micros {
        match self.request {
            Ok(JobRequest::Submit {
                estimated_runtime, ..
            }) => estimated_runtime,
            _ => 0,
        }
    }

    /// The answer or dead letter; `None` while the outcome is unknown or if nothing has to be published.
    pub fn publication(&self, key: MessageKey) -> Option<Publication> {
        let outcome = self.outcome.clone()?;
        if let Some(reply_to) = self.message.reply_to.clone() {
            return Some(Publication::Answer(FinalAnswer {
                reply_to,
                correlation_id: self.message.correlation_id.clone(),
                message: key,
                job: self.job().map(str::to_owned),
                outcome,
                maybe_duplicate: self.maybe_duplicate,
            }));
        }
        let Outcome::Refused(reason) = outcome else {
            return None;
        };
        Some(Publication::DeadLetter(DeadLetter {
            queue: self.rule.dead_letter.clone()?,
            message: key,
            reason,
            body: self.message.body.clone(),
        }))
    }

    /// A status update if the client wants one; each kind is published at most once.
    pub fn status_update(&mut self, key: MessageKey, progress: Progress) -> Option<StatusUpdate> {
        let was_reported = match progress {
            Progress::Accepted => &mut self.reported.accepted,
            Progress::Delayed(_) => &mut self.reported.delayed,
        };
        if !self.message.wants_status_updates || std::mem::replace(was_reported, true) {
            return None;
        }
        Some(StatusUpdate {
            reply_to: self.message.reply_to.clone()?,
            correlation_id: self.message.correlation_id.clone(),
            message: key,
            job: self.job().map(str::to_owned),
            progress,
        })
    }
}
