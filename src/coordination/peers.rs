//! Hints that controllers send each other. No rule rests on them: they only make things happen sooner.

use super::Controller;
use super::events::Effect;
use crate::protocol::peer::PeerHint;
use crate::time::Micros;

impl Controller {
    /// Time between two hints to the other controllers.
    const HINT_INTERVAL: Micros = Micros::secs(1);
    /// Age from which a peer's hint says nothing about its present rate of writes.
    const HINT_LIFETIME: Micros = Micros::secs(3);

    /// Sends a hint when it is due, and lends the peers what this controller does not spend of its rate.
    pub(super) fn drive_hints(&mut self) {
        if self.now.steady >= self.next_hint {
            self.next_hint = self.now.steady + Self::HINT_INTERVAL;
            self.send_hint();
            self.lend_rate();
        }
        self.wake_at(self.next_hint);
    }

    fn send_hint(&mut self) {
        let contact = self
            .replica
            .is_ready()
            .then(|| self.contact_age().as_millis());
        let terms = (0..self.cell.leaders.len())
            .map(|shard| (self.cell.leaders[shard].mod_revision, self.leads(shard)))
            .collect();
        let hint = PeerHint {
            node: self.settings.node.clone(),
            run: self.incarnation,
            contact_ms: contact,
            revision: self.cell.revision,
            terms,
            last_heartbeat_ms: self.agent_contact_age_ms(),
            saturated: self.rounds.is_saturated(self.now.steady),
            spends: (self.budget.take_spending_rate(self.now.steady) * 1e3) as u64,
        };
        self.effects.push(Effect::Peers(hint));
    }

    fn lend_rate(&mut self) {
        let now = self.now.steady;
        let recent_rate = |(received, hint): &(Micros, PeerHint)| {
            (now.since(*received) < Self::HINT_LIFETIME).then_some(hint.spends as f64 / 1e3)
        };
        let rates = self
            .settings
            .others
            .iter()
            .map(|other| self.peers.get(&other.node).and_then(recent_rate));
        self.budget.borrow_unused(now, rates);
    }

    /// Takes a peer's hint. A newer term of a shard ends this controller's leadership of it at once.
    pub(super) fn on_hint(&mut self, hint: PeerHint) {
        if self.is_from_earlier_run(&hint) {
            return;
        }
        for (shard, (term, leads)) in hint.terms.iter().enumerate() {
            if *leads && self.leads(shard) && *term > self.cell.leaders[shard].mod_revision {
                tracing::info!(shard, term, peer = hint.node, "peer has a newer term");
                self.on_newer_term(shard, *term);
                self.replica.request_barrier();
            }
        }
        self.peers
            .insert(hint.node.clone(), (self.now.steady, hint));
    }

    /// Whether a hint is a late one of an earlier run of its sender: its replica had not come as far as the
    /// record of a later run.
    fn is_from_earlier_run(&self, hint: &PeerHint) -> bool {
        let node = self.cell.nodes.get(&hint.node);
        node.is_some_and(|n| n.value.run != hint.run && n.mod_revision > hint.revision)
    }
}
