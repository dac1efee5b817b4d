//! Whether this controller still hears workers. One that hears none while its peers do is cut off
//! itself: it withdraws, so that others take its slices before the leases run out.
//!
//! Nothing here proves anything. A withdrawal only removes the node's own record, as the end of its
//! lease would; whoever claims its slices begins new terms as after a crash.

use super::{Controller, Effect, Purpose};
use crate::bookkeeping::time::Micros;
use crate::protocol::worker::command_body;

/// What is known of the way to the workers.
#[derive(Debug, Default)]
pub struct Reach {
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
    withdrawn: Option<Micros>,
    /// How long it stays away, and when it last came back.
    pause: Micros,
    back: Option<Micros>,
}

impl Reach {
    /// A worker was heard.
    pub fn heard(&mut self, now: Micros) {
        self.heard = Some(now);
        self.failed = 0;
    }

    /// Whether the node has given its slices up.
    pub fn withdrawn(&self) -> bool {
        self.withdrawn.is_some()
    }
}

impl Controller {
    /// Enquiries without an answer that make it sure, if there are so many machines.
    const ENQUIRIES: usize = 3;
    const ENQUIRY_LIMIT: Micros = Micros::millis(1_500);
    /// Shortest time away after a withdrawal; it doubles up to the longest.
    const AWAY: (Micros, Micros) = (Micros::secs(3), Micros::secs(60));

    /// Milliseconds since any worker was heard.
    pub(super) fn heard_ms(&self) -> Option<u64> {
        self.reach
            .heard
            .map(|t| self.now.steady.since(t).as_millis())
    }

    /// Whether it is too quiet for the number of workers that report here.
    fn quiet(&self) -> bool {
        let now = self.now.steady;
        let begun = (0..self.view.own.len())
            .filter_map(|k| Some(self.ownership.tenure(k)?.since))
            .min();
        let (Some(begun), workers) = (begun, self.sessions.len() as u64) else {
            return false;
        };
        let begun = begun.max(self.absence.back());
        if workers == 0 {
            return false;
        }
        // After a takeover workers may first have to give up on another node.
        let first = begun + Micros::millis(5_500);
        let since = self
            .reach
            .heard
            .map_or(first, |t| if t < begun { first } else { t });
        now.since(since) > Micros::secs(1).max(Micros(self.cfg.report.0 * 6 / workers))
    }

    /// Whether the silence of workers says something about this node rather than about them.
    pub(super) fn deaf(&self) -> bool {
        self.reach.withdrawn() || self.quiet() && self.peers_hear()
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
    pub(super) fn sweep_reach(&mut self) {
        let now = self.now.steady;
        if !self.reader.ready() {
            return;
        }
        if let Some(since) = self.reach.withdrawn {
            let again = self
                .reach
                .heard
                .is_some_and(|t| t > since && now.since(t) < Micros::secs(2));
            // Somebody must own the slices, even if it hears nobody.
            let alone = self.view.nodes.is_empty() && now.since(since) > Micros::secs(1);
            if alone || again && self.reach.failed <= 1 && now.since(since) > self.reach.pause {
                tracing::info!(away = %now.since(since), alone, "workers are heard again, back in service for them");
                self.reach.withdrawn = None;
                self.reach.back = Some(now);
                self.ownership.look();
            } else {
                self.enquire();
            }
            return;
        }
        if !self.quiet() {
            return;
        }
        let machines = self.view.machines_up().count();
        let sure = self.reach.failed >= Self::ENQUIRIES.min(machines.max(1));
        if sure && self.peers_hear() && self.contact_age() < Micros::secs(4) {
            self.withdraw();
        } else {
            self.enquire();
        }
    }

    /// Asks a few workers, whosever they are, for a sign of life. The command's token and session are
    /// none that a worker takes: nothing is carried out, and the answer is its report.
    fn enquire(&mut self) {
        let now = self.now.steady;
        if self.reach.asking > 0 || now < self.reach.next_ask {
            return;
        }
        let up = self.view.machines_up();
        let endpoints: Vec<_> = up.filter_map(|(_, r)| r.endpoint).collect();
        if endpoints.is_empty() {
            return;
        }
        self.reach.next_ask = now + Micros::millis(500);
        let count = Self::ENQUIRIES.min(endpoints.len());
        for i in 0..count {
            // A step that is far from the order in which machines came.
            let at = (self.reach.turn + i * (endpoints.len() / count)) % endpoints.len();
            let call = self.call(Purpose::Enquiry);
            let body = command_body(0, 0, &[]);
            let endpoint = endpoints[at].to_string();
            self.out.push(Effect::Direct {
                call,
                endpoint,
                body,
                limit: Self::ENQUIRY_LIMIT,
            });
        }
        self.reach.turn = self.reach.turn.wrapping_add(1);
        self.reach.asking = count;
    }

    /// A worker answered an enquiry, or did not.
    pub(super) fn on_enquiry(&mut self, answered: bool) {
        self.reach.asking = self.reach.asking.saturating_sub(1);
        if answered {
            self.reach.heard(self.now.steady);
        } else {
            self.reach.failed += 1;
        }
    }

    /// Gives the slices up: the node's own record is removed, and not written before workers are heard.
    fn withdraw(&mut self) {
        let now = self.now.steady;
        let (least, most) = Self::AWAY;
        let lately = self
            .reach
            .back
            .is_some_and(|t| now.since(t) < Micros::secs(120));
        self.reach.pause = if lately {
            Micros(self.reach.pause.0 * 2).min(most)
        } else {
            least
        };
        self.reach.withdrawn = Some(now);
        let (workers, pause) = (self.sessions.len(), self.reach.pause);
        tracing::info!(workers, %pause, "no worker is heard, but peers hear theirs: withdrawing");
    }
}
