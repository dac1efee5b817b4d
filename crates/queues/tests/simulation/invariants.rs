//! Invariants that are checked at the end of a simulation.

use super::Simulation;
use super::process::Process;
use cometlead_queues::MessageKey;
use cometlead_queues::progress::ConsumerState;
use cometlead_queues::reply::{FinalAnswer, Outcome};

impl Simulation {
    /// The answers to a message.
    pub fn answers_to(&self, key: MessageKey) -> Vec<&FinalAnswer> {
        self.answers.iter().filter(|a| a.message == key).collect()
    }

    /// All violations of the invariants.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for key in &self.published_keys {
            self.check_answer_count(*key, &mut violations);
            for answer in self.answers_to(*key) {
                self.check_answer(answer, &mut violations);
            }
        }
        let pending = self.pending_message_count();
        if pending > 0 {
            violations.push(format!("{pending} messages are still pending"));
        }
        let stale = self.stale_consumer_count();
        if stale > 0 {
            violations.push(format!("{stale} stale consumers are still registered"));
        }
        violations
    }

    /// Each message has one answer, or possibly none if the broker has lost it. Further answers that are marked as
    /// possible duplicates are permitted where receipts were lost.
    fn check_answer_count(&self, key: MessageKey, violations: &mut Vec<String>) {
        let answers = self.answers_to(key);
        let unmarked = answers.iter().filter(|a| !a.maybe_duplicate).count();
        let min_answers = usize::from(!self.lost_keys.contains(&key));
        let max_answers = unmarked + self.config.lost_receipt_queues as usize;
        if unmarked > 1 || answers.len() < min_answers || answers.len() > max_answers {
            let total = answers.len();
            violations.push(format!(
                "{key}: {total} answers, {unmarked} of them not marked as possible duplicates"
            ));
        }
    }

    /// An answer has the correlation id of its message, and its outcome is that of the job.
    fn check_answer(&self, answer: &FinalAnswer, violations: &mut Vec<String>) {
        let key = answer.message;
        let message = self.enqueued_messages.iter().find(|m| m.key() == key);
        if Some(&answer.correlation_id) != message.map(|m| &m.correlation_id) {
            violations.push(format!(
                "{key}: the answer has another message's correlation id"
            ));
        }
        let job = answer.job.as_ref();
        let job = job.and_then(|job| self.controllers.jobs.get(job));
        let matches_job = match answer.outcome {
            Outcome::Done => job.is_some_and(|j| j.cancelled_at.is_none()),
            Outcome::Cancelled => job.is_some_and(|j| j.cancelled_at.is_some()),
            Outcome::Refused(_) => true,
        };
        if !matches_job {
            let outcome = &answer.outcome;
            violations.push(format!(
                "{key}: answered {outcome:?}, but the job is {job:?}"
            ));
        }
    }

    fn pending_message_count(&self) -> usize {
        let running = self.processes.iter().flatten();
        running.map(|p| p.machine.pending_count()).sum()
    }

    /// Registered consumers beyond those of the running processes.
    fn stale_consumer_count(&self) -> usize {
        let mut running = self.processes.iter().flatten();
        let connected = running.find(|p| p.connection.is_some());
        // Consumers whose receipts are lost stay registered as long as the log has claims of theirs.
        let registered = |process: &Process| {
            let states = process.machine.log().consumers().values();
            states
                .filter(|state| **state != ConsumerState::ReceiptsLost)
                .count()
        };
        connected
            .map_or(0, registered)
            .saturating_sub(self.config.processes)
    }
}
