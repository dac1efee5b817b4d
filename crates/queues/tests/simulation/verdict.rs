//! What a client would complain about at the end of a simulation.

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

    /// Everything that is wrong.
    pub fn complaints(&self) -> Vec<String> {
        let mut complaints = Vec::new();
        for key in &self.published {
            self.check_answer_count(*key, &mut complaints);
            for answer in self.answers_to(*key) {
                self.check_answer(answer, &mut complaints);
            }
        }
        let in_hand = self.in_hand();
        if in_hand > 0 {
            complaints.push(format!("{in_hand} messages are still in hand"));
        }
        let left_behind = self.left_behind();
        if left_behind > 0 {
            complaints.push(format!("{left_behind} dead consumers are still registered"));
        }
        complaints
    }

    /// Each message has one answer. Answers that may be duplicates are permitted where receipts were lost.
    fn check_answer_count(&self, key: MessageKey, complaints: &mut Vec<String>) {
        let answers = self.answers_to(key);
        let first = answers.iter().filter(|a| !a.maybe_duplicate).count();
        let wanted = usize::from(!self.lost.contains(&key));
        let permitted = first + self.config.lost_receipt_queues as usize;
        if first > 1 || answers.len() < wanted || answers.len() > permitted {
            let all = answers.len();
            complaints.push(format!("{key}: {all} answers, {first} of them as if first"));
        }
    }

    /// An answer belongs to its message and says what became of the job.
    fn check_answer(&self, answer: &FinalAnswer, complaints: &mut Vec<String>) {
        let key = answer.message;
        let message = self.queued.iter().find(|m| m.key() == key);
        if Some(&answer.correlation_id) != message.map(|m| &m.correlation_id) {
            complaints.push(format!("{key}: another message's answer"));
        }
        let job = answer.job.as_ref();
        let job = job.and_then(|job| self.controllers.jobs.get(job));
        let agrees = match answer.outcome {
            Outcome::Done => job.is_some_and(|j| j.cancelled_at.is_none()),
            Outcome::Cancelled => job.is_some_and(|j| j.cancelled_at.is_some()),
            Outcome::Refused(_) => true,
        };
        if !agrees {
            let outcome = &answer.outcome;
            complaints.push(format!(
                "{key}: answered {outcome:?}, and the job is {job:?}"
            ));
        }
    }

    fn in_hand(&self) -> usize {
        let running = self.processes.iter().flatten();
        running.map(|p| p.machine.pending_count()).sum()
    }

    /// Registered consumers beyond those of the running processes.
    fn left_behind(&self) -> usize {
        let mut running = self.processes.iter().flatten();
        let connected = running.find(|p| p.connection.is_some());
        // Those with lost receipts stay registered for as long as there are claims of them.
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
