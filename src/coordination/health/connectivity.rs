//! Whether this controller still hears workers. One that hears none while its peers do is cut off
//! itself: it withdraws, so that others take its slices before the leases run out.
//!
//! Nothing here proves anything. A withdrawal only removes the node's own record, as the end of its
//! lease would; whoever claims its slices begins new terms as after a crash.

use crate::coordination::{Controller, Effect, Purpose};
use crate::protocol::worker::command_body;
use crate::time::Micros;

/// What is known of the way to the workers.
#[derive(Debug, Default)]
pub struct Connectivity {
    /// When any worker was last heard, by report or answer.
    heard: Option<Micros>,
    /// Enquiries that had no answer since then.
    failed: usize,
    /// Enquiries under way.
    asking: usize,
    next_ask: Micros,
    /// Machines are asked in turn.
    turn: usize,
    /// When the node withdrew, unless it has come back.
    withdrawn_since: Option<Micros>,
    /// How long it stays away, and when it last came back.
    pause: Micros,
    back: Option<Micros>,
}

impl Connectivity {
    /// A worker was heard.
    pub fn heard(&mut self, now: Micros) {
        self.heard = Some(now);
        self.failed = 0;
    }

    /// Whether the node has given its slices up.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_since.is_some()
    }
}

impl Controller {
    /// Enquiries without an answer that make it sure, if there are so many machines.
    const PROBES: usize = 3;
    const PROBE_TIMEOUT: Micros = Micros::millis(1_500);
    /// Shortest time away after a withdrawal; it doubles up to the longest.
    const AWAY: (Micros, Micros) = (Micros::secs(3), Micros::secs(60));

    /// Milliseconds since any worker was heard.
    pub(in crate::coordination) fn heard_ms(&self) -> Option<u64> {
        self.connectivity
            .heard
            .map(|t| self.now.steady.since(t).as_millis())
    }

    /// Whether it is too quiet for the number of workers that report here.
    fn quiet(&self) -> bool {
        let now = self.now.steady;
        let begun = (0..self.cell.leaders.len())
            .filter_map(|k| Some(self.leadership.leader_term(k)?.since))
            .min();
        let (Some(begun), workers) = (begun, self.agents.len() as u64) else {
            return false;
        };
        let begun = begun.max(self.stall.back());
        if workers == 0 {
            return false;
        }
        // After a takeover workers may first have to give up on another node.
        let first = begun + Micros::millis(5_500);
        let since = self
            .connectivity
            .heard
            .map_or(first, |t| if t < begun { first } else { t });
        now.since(since)
            > Micros::secs(1).max(Micros(self.settings.heartbeat_interval.0 * 6 / workers))
    }

    /// Whether the silence of workers says something about this node rather than about them.
    pub(in crate::coordination) fn cannot_hear_agents(&self) -> bool {
        self.connectivity.is_withdrawn() || self.quiet() && self.peers_hear()
    }

    /// Whether a peer has heard workers lately.
    fn peers_hear(&self) -> bool {
        self.peers.values().any(|(told, hint)| {
            let age = self.now.steady.since(*told);
            hint.heard_ms
                .is_some_and(|ms| Micros::millis(ms) + age < Micros::secs(3))
        })
    }

    /// Looks whether workers are heard, and withdraws or comes back.
    pub(in crate::coordination) fn tick_connectivity(&mut self) {
        let now = self.now.steady;
        if !self.replica.ready() {
            return;
        }
        if let Some(since) = self.connectivity.withdrawn_since {
            let again = self
                .connectivity
                .heard
                .is_some_and(|t| t > since && now.since(t) < Micros::secs(2));
            // Somebody must own the slices, even if it hears nobody.
            let alone = self.cell.nodes.is_empty() && now.since(since) > Micros::secs(1);
            if alone
                || again
                    && self.connectivity.failed <= 1
                    && now.since(since) > self.connectivity.pause
            {
                tracing::info!(away = %now.since(since), alone, "workers are heard again, back in service for them");
                self.connectivity.withdrawn_since = None;
                self.connectivity.back = Some(now);
                self.leadership.schedule_check();
            } else {
                self.probe_agents();
            }
            return;
        }
        if !self.quiet() {
            return;
        }
        let machines = self.cell.machines_up().count();
        let sure = self.connectivity.failed >= Self::PROBES.min(machines.max(1));
        if sure && self.peers_hear() && self.contact_age() < Micros::secs(4) {
            self.withdraw();
        } else {
            self.probe_agents();
        }
    }

    /// Asks a few workers, whosever they are, for a sign of life. The command's token and session are
    /// none that a worker takes: nothing is carried out, and the answer is its report.
    fn probe_agents(&mut self) {
        let now = self.now.steady;
        if self.connectivity.asking > 0 || now < self.connectivity.next_ask {
            return;
        }
        let up = self.cell.machines_up();
        let endpoints: Vec<_> = up.filter_map(|(_, r)| r.endpoint).collect();
        if endpoints.is_empty() {
            return;
        }
        self.connectivity.next_ask = now + Micros::millis(500);
        let count = Self::PROBES.min(endpoints.len());
        for i in 0..count {
            // A step that is far from the order in which machines came.
            let at = (self.connectivity.turn + i * (endpoints.len() / count)) % endpoints.len();
            let call = self.call(Purpose::Probe);
            let body = command_body(0, 0, &[]);
            let endpoint = endpoints[at].to_string();
            self.effects.push(Effect::PushCommand {
                call,
                endpoint,
                body,
                limit: Self::PROBE_TIMEOUT,
            });
        }
        self.connectivity.turn = self.connectivity.turn.wrapping_add(1);
        self.connectivity.asking = count;
    }

    /// A worker answered an enquiry, or did not.
    pub(in crate::coordination) fn on_probe_answer(&mut self, answered: bool) {
        self.connectivity.asking = self.connectivity.asking.saturating_sub(1);
        if answered {
            self.connectivity.heard(self.now.steady);
        } else {
            self.connectivity.failed += 1;
        }
    }

    /// Gives the slices up: the node's own record is removed, and not written before workers are heard.
    fn withdraw(&mut self) {
        let now = self.now.steady;
        let (least, most) = Self::AWAY;
        let lately = self
            .connectivity
            .back
            .is_some_and(|t| now.since(t) < Micros::secs(120));
        self.connectivity.pause = if lately {
            Micros(self.connectivity.pause.0 * 2).min(most)
        } else {
            least
        };
        self.connectivity.withdrawn_since = Some(now);
        let (workers, pause) = (self.agents.len(), self.connectivity.pause);
        tracing::info!(workers, %pause, "no worker is heard, but peers hear theirs: withdrawing");
    }
}
