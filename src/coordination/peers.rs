//! Hints that controllers send each other. Correctness does not depend on them: they only make controllers react sooner.

use super::Controller;
use super::events::Effect;
use crate::protocol::peer::PeerHint;
use crate::time::Micros;

impl Controller {
    /// Time between two hints to the other controllers.
    const HINT_INTERVAL: Micros = Micros::secs(1);
    /// A peer's hint that is this old or older says nothing about the peer's present write rate.
    const HINTED_RATE_MAX_AGE: Micros = Micros::secs(3);

    /// Sends a hint when it is due, and updates what this controller borrows of the peers' unused write rates.
    pub(super) fn drive_hints(&mut self) {
        if self.now.monotonic >= self.next_hint {
            self.next_hint = self.now.monotonic + Self::HINT_INTERVAL;
            self.send_hint();
            self.borrow_unused_rate();
        }
        self.wake_at(self.next_hint);
    }

    fn send_hint(&mut self) {
        let contact = self
            .replica
            .is_ready()
            .then(|| self.contact_age().as_millis());
        let shard_terms = (0..self.cell.leaders.len())
            .map(|shard| (self.cell.leaders[shard].mod_revision, self.leads(shard)))
            .collect();
        let hint = PeerHint {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            state_store_contact_ms: contact,
            revision: self.cell.revision,
            shard_terms,
            last_heartbeat_ms: self.agent_contact_age_ms(),
            saturated: self.rounds.is_saturated(self.now.monotonic),
            write_rate_milli: (self.budget.take_spending_rate(self.now.monotonic) * 1e3) as u64,
        };
        self.effects.push(Effect::Peers(hint));
    }

    fn borrow_unused_rate(&mut self) {
        let now = self.now.monotonic;
        let recent_rate = |(received, hint): &(Micros, PeerHint)| {
            (now.since(*received) < Self::HINTED_RATE_MAX_AGE)
                .then_some(hint.write_rate_milli as f64 / 1e3)
        };
        let rates = self
            .settings
            .peers
            .iter()
            .map(|other| self.peers.get(&other.node).and_then(recent_rate));
        self.budget.borrow_unused(now, rates);
    }

    /// Handles a peer's hint. If it shows a newer term of a shard, this controller's leadership of the shard ends at once.
    pub(super) fn on_hint(&mut self, hint: PeerHint) {
        if self.is_from_earlier_run(&hint) {
            return;
        }
        for (shard, (term, leads)) in hint.shard_terms.iter().enumerate() {
            if *leads && self.leads(shard) && *term > self.cell.leaders[shard].mod_revision {
                tracing::info!(shard, term, peer = hint.node, "peer has a newer term");
                self.on_newer_term(shard, *term);
                self.replica.request_barrier();
            }
        }
        self.peers
            .insert(hint.node.clone(), (self.now.monotonic, hint));
    }

    /// Whether a hint arrived late from an earlier run of its sender: when it was sent, the sender's replica had not
    /// reached the revision of the node record of a later run.
    fn is_from_earlier_run(&self, hint: &PeerHint) -> bool {
        let node = self.cell.nodes.get(&hint.node);
        node.is_some_and(|n| {
            n.value.incarnation != hint.incarnation && n.mod_revision > hint.revision
        })
    }
}
