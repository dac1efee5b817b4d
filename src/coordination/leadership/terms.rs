//! Leader terms of shards: when they begin and end in this process.

use crate::coordination::Controller;
use crate::storage::ids::ShardId;
use crate::storage::records::Key;
use crate::time::Micros;

/// An uninterrupted leadership of a shard by this process.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTerm {
    /// The first fencing token of the term: an agent that reports this token or a later one accepts no commands from any
    /// earlier leader.
    pub first_token: u64,
    /// When it began, in monotonic time.
    pub since: Micros,
}

/// The terms of all shards.
#[derive(Debug, Default)]
pub(super) struct LeaderTerms {
    shards: Vec<ShardTerm>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ShardTerm {
    current: Option<LeaderTerm>,
    /// A leader record of this revision or an older one begins no term.
    ignored_up_to: u64,
}

impl LeaderTerms {
    /// The current term of a shard, if this process leads it.
    pub(super) fn current(&self, shard: ShardId) -> Option<LeaderTerm> {
        self.shards.get(shard).and_then(|term| term.current)
    }

    /// The revision up to which leader records of a shard begin no term; 0 if there is none.
    pub(super) fn ignored_up_to(&self, shard: ShardId) -> u64 {
        self.shards.get(shard).map_or(0, |term| term.ignored_up_to)
    }

    /// Includes a shard in those that [`Controller::step_down_everywhere`] steps down from.
    fn track(&mut self, shard: ShardId) {
        self.entry(shard);
    }

    fn entry(&mut self, shard: ShardId) -> &mut ShardTerm {
        if self.shards.len() <= shard {
            self.shards.resize(shard + 1, ShardTerm::default());
        }
        &mut self.shards[shard]
    }

    fn begin(&mut self, shard: ShardId, term: LeaderTerm) {
        self.entry(shard).current = Some(term);
    }

    fn end(&mut self, shard: ShardId) {
        self.entry(shard).current = None;
    }

    fn raise_ignored_up_to(&mut self, shard: ShardId, revision: u64) {
        let term = self.entry(shard);
        term.ignored_up_to = term.ignored_up_to.max(revision);
    }
}

impl Controller {
    pub(in crate::coordination) fn on_leader_changed(&mut self, shard: ShardId) {
        self.leadership.terms.track(shard);
        self.leadership.schedule_check();
        let record = &self.cell.leaders[shard];
        let term = record.mod_revision;
        let names_this_process = record.value.as_ref() == Some(&self.leader_record());
        let leads = self.leads(shard);
        if names_this_process && !leads && term > self.leadership.terms.ignored_up_to(shard) {
            tracing::info!(shard, term, "shard leadership acquired");
            self.begin_term(shard, term);
        } else if names_this_process && leads {
            // Every claim of this process since the term began was conditional on its own record, so no other process
            // can have led the shard in between.
            tracing::info!(shard, term, "shard term raised");
        } else if !names_this_process && leads {
            let leader = record.value.as_ref().map(|leader| leader.node.as_str());
            tracing::info!(shard, term, leader, "shard leadership lost");
            self.step_down(shard);
        }
    }

    fn begin_term(&mut self, shard: ShardId, token: u64) {
        self.counters.failovers += 1;
        let term = LeaderTerm {
            first_token: token,
            since: self.now.monotonic,
        };
        self.leadership.terms.begin(shard, term);
        self.register_agents_of_shard(shard);
        self.rounds.request();
        self.find_oversized_records();
    }

    /// A peer has a newer term of a shard that this process believed to lead.
    pub(in crate::coordination) fn on_newer_term(&mut self, shard: ShardId, term: u64) {
        self.step_down(shard);
        let terms = &mut self.leadership.terms;
        terms.raise_ignored_up_to(shard, term.saturating_sub(1));
        self.leadership.schedule_check();
    }

    fn step_down(&mut self, shard: ShardId) {
        self.leadership.terms.end(shard);
        self.drop_agents_of_shard(shard);
        if shard == 0 {
            self.reset_autoscaler();
        }
    }

    /// Ends all terms, because what this process knows of unsettled assignments is no longer reliable.
    pub(in crate::coordination) fn step_down_everywhere(&mut self) {
        for shard in 0..self.leadership.terms.shards.len() {
            let revision = self.cell.mod_revision(&Key::ShardLeader(shard));
            self.leadership.terms.raise_ignored_up_to(shard, revision);
            self.step_down(shard);
        }
    }
}
