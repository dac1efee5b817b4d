//! Rounds: what was proven and what was planned goes into one transaction at a time, on the
//! revisions of the records that it changes.

pub(super) mod budget;
mod fair_shares;
pub(super) mod limits;
mod ordering;
mod placement_requests;
mod round;
mod starvation;
pub(super) mod transaction;

use crate::coordination::agents::{HealthChange, Outcome};
use crate::coordination::commit::transaction::{Limits, PlannedTransaction};
use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{CallError, StateReply, StateRequest};
use crate::scheduler::placement::Claim;
use crate::storage::cell_state::{CellChanges, CellState, Change, Job};
use crate::storage::ids::{Attempt, JobId, MachineId, TaskId};
use crate::storage::job::{FinalRecord, Priority};
use crate::storage::records::Key;
use crate::time::Micros;
use std::cmp::Reverse;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A round that waits for its answer.
#[derive(Debug)]
pub struct InFlight {
    changes: Vec<Change>,
    ended: Vec<(JobId, FinalRecord)>,
    assigned: Vec<(Claim, u64)>,
    released: usize,
}

/// A round that is ready to be sent.
struct PlannedRound {
    commit: PlannedTransaction,
    assigned: Vec<(Claim, u64)>,
    released: usize,
}

/// What comes first: what is not suspect, then work within its team's guarantee, then the urgent, then
/// what must start soonest, then the oldest. What would be left behind goes ahead of that.
type Precedence = (bool, bool, Priority, Micros, Micros);

/// A job's turn in the order.
struct Turn<'a> {
    id: JobId,
    job: &'a Job,
    /// Most of its tasks that may be placed in this turn.
    most: u64,
    /// It goes ahead of others for the sake of its class or team.
    ahead: bool,
}

/// A job that is suspected to fail wherever it runs.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// How often its tasks had failed when it was last looked at, and when that was.
    errors: u32,
    at: Micros,
    /// How often it was tried in vain since the suspicion was formed.
    tries: u32,
}

/// What waits to be committed.
#[derive(Debug, Default)]
pub struct Rounds {
    requested: bool,
    in_flight: bool,
    /// The call after which a read was asked for before a round, and when that was.
    reading: Option<(u64, Micros)>,
    next: Micros,
    /// When the last round was sent, and when the last one that had no room for all there was.
    last: Micros,
    last_full: Option<Micros>,
    /// Bookings to be cleared, with since when.
    pending_releases: BTreeMap<(MachineId, Attempt), (Outcome, Micros)>,
    health_changes: BTreeMap<MachineId, HealthChange>,
    adds: BTreeSet<MachineId>,
    /// Machines that are proven gone, by this process as the fleet's owner.
    gone: BTreeSet<MachineId>,
    /// Machines that the fleet wants to return.
    releasing: BTreeSet<MachineId>,
    /// The last round was for what must start at once alone.
    urgent_only: bool,
    /// The last full round had no room left to book anything, so the next one books before it clears.
    assignments_first: bool,
    /// Ends of jobs in rounds without an answer: told in the log once the copy shows them.
    unanswered_ends: BTreeMap<JobId, FinalRecord>,
    /// No planning before the copy has passed this revision.
    hold_until_revision: u64,
    /// No planning before a read that began after this call.
    hold_call: Option<u64>,
    suspects: BTreeMap<JobId, Suspicion>,
    /// How long jobs have waited.
    starvation: starvation::StarvationPrevention,
    /// Own records that were written under larger limits than those to come, and are to be brought down.
    large: BTreeSet<Key>,
    /// The last round brought one of them down.
    compacted: bool,
}

impl Rounds {
    /// Something changed that may call for a round.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Wants a booking cleared; false if that was wanted already. The first outcome stands: silence
    /// proves less than the end that was seen before it.
    pub fn release(&mut self, m: MachineId, a: Attempt, outcome: Outcome, now: Micros) -> bool {
        self.requested = true;
        match self.pending_releases.entry((m, a)) {
            Entry::Occupied(_) => false,
            Entry::Vacant(e) => {
                e.insert((outcome, now));
                true
            }
        }
    }

    /// Whether a booking is to be cleared; its attempt must not be launched again.
    pub fn is_being_released(&self, m: MachineId, a: Attempt) -> bool {
        self.pending_releases.contains_key(&(m, a))
    }

    /// Whether more waits than rounds have had room for lately.
    pub fn saturated(&self, now: Micros) -> bool {
        self.last_full
            .is_some_and(|t| now.since(t) < Micros::secs(3))
    }

    /// How many bookings wait to be cleared.
    pub fn waiting(&self) -> usize {
        self.pending_releases.len()
    }

    /// Bookings to be cleared. A round has room for few records: first come those for which most waits,
    /// each end counting by how long it has waited, so none is left out for ever.
    fn releases_in_order(
        &self,
        cell: &CellState,
        now: Micros,
    ) -> Vec<(MachineId, Attempt, Outcome)> {
        const HEAD_START: Micros = Micros::millis(500);
        let mut weights: HashMap<_, u64> = HashMap::new();
        for ((m, _), (_, since)) in &self.pending_releases {
            *weights.entry(cell.home(*m)).or_default() += (now.since(*since) + HEAD_START).0;
        }
        let weight = |m: MachineId| weights.get(&cell.home(m)).copied().unwrap_or(0);
        let mut all: Vec<_> = self
            .pending_releases
            .iter()
            .map(|((m, a), (o, since))| (Reverse(weight(*m)), *since, *m, *a, *o))
            .collect();
        all.sort_unstable_by_key(|(weight, since, m, a, _)| (*weight, *since, *m, *a));
        all.into_iter().map(|(_, _, m, a, o)| (m, a, o)).collect()
    }

    /// Wants a machine's record changed; false if that was wanted already.
    pub fn set_health(&mut self, m: MachineId, set_health: HealthChange) -> bool {
        self.requested = true;
        self.health_changes.insert(m, set_health) != Some(set_health)
    }

    /// Wants a machine added to its group.
    pub fn add(&mut self, m: MachineId) {
        self.requested = true;
        self.adds.insert(m);
    }

    /// A machine is proven gone.
    pub fn gone(&mut self, m: MachineId) {
        self.requested = true;
        self.gone.insert(m);
    }

    /// Wants a machine marked before it is returned; false if that was wanted already.
    pub fn releasing(&mut self, m: MachineId) -> bool {
        self.requested = true;
        self.releasing.insert(m)
    }

    /// Drops what the owner of these machines wanted: it is not this process any more.
    pub fn drop_machines(&mut self, lost: impl Fn(MachineId) -> bool) {
        self.pending_releases.retain(|(m, _), _| !lost(*m));
        self.health_changes.retain(|m, _| !lost(*m));
        self.adds.retain(|m| !lost(*m));
    }

    /// Drops what the fleet's owner wanted.
    pub fn drop_fleet(&mut self) {
        self.gone.clear();
        self.releasing.clear();
    }

    /// A job is suspect, and its tasks have failed this often; whether that is new.
    pub fn suspect(&mut self, job: JobId, errors: u32, now: Micros) -> bool {
        match self.suspects.entry(job) {
            Entry::Vacant(e) => {
                e.insert(Suspicion {
                    errors,
                    at: now,
                    tries: 0,
                });
                true
            }
            Entry::Occupied(mut e) => {
                let s = e.get_mut();
                if s.errors < errors {
                    // Tasks that were started together fail together: that is one try.
                    let again = now.since(s.at) > Self::pause(s.tries);
                    *s = Suspicion {
                        errors,
                        at: now,
                        tries: s.tries + u32::from(again),
                    };
                }
                false
            }
        }
    }

    /// A job has ended, or something of it was completed; whether it was suspect.
    pub fn clear_suspect(&mut self, job: JobId) -> bool {
        self.suspects.remove(&job).is_some()
    }

    /// Whether a job is suspect.
    pub fn is_suspect(&self, job: JobId) -> bool {
        self.suspects.contains_key(&job)
    }

    /// Whether some job waits for a pause to end.
    pub fn pausing(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// How long a suspect job waits for its next try. Suspicion may be wrong, so this has a bound.
    fn pause(tries: u32) -> Micros {
        Micros::secs(2 << tries.min(4))
    }

    /// A read has brought the copy forward.
    pub fn on_read(&mut self, revision: u64, read: u64) {
        if self.hold_until_revision <= revision {
            self.hold_until_revision = 0;
        }
        if self.hold_call.is_some_and(|c| read > c) {
            self.hold_call = None;
        }
    }

    fn held(&self) -> bool {
        self.hold_until_revision > 0 || self.hold_call.is_some()
    }
}

fn log_end(job: JobId, f: FinalRecord) {
    let how = if f.cancelled { "cancelled" } else { "done" };
    tracing::info!(%job, done = f.done, how, "ended");
}

impl Controller {
    /// How long small rounds are gathered for while a peer has more to write than its share.
    const GATHER: Micros = Micros::millis(800);

    /// Most claims of one round.
    const CLAIMS: usize = 256;

    /// Most machines on which one round stops tasks for others.
    const PREEMPTIONS: usize = 4;

    pub(super) fn drive_rounds(&mut self) {
        let now = self.now.steady;
        if !self.rounds.requested
            || self.rounds.in_flight
            || self.rounds.held()
            || !self.replica.ready()
        {
            return;
        }
        if now < self.rounds.next {
            self.wake_at(self.rounds.next);
            return;
        }
        if self.cell.types.value.is_none() || self.cell.shards() == 0 {
            return;
        }
        let patient = self.rounds.last + Self::GATHER;
        if now < patient && self.should_batch() {
            self.wake_at(patient);
            return;
        }
        self.refresh_unschedulable();
        // A large round of what has time must not hold up what must start at once: that may overdraw.
        let urgent_only = match self.budget.round(now) {
            Ok(()) => false,
            Err(_)
                if !self.rounds.urgent_only
                    && self.budget.overdraw(now).is_ok()
                    && self.urgent_waits() =>
            {
                true
            }
            Err(at) => {
                self.wake_at(at);
                return;
            }
        };
        if !self.read_before_round() {
            return;
        }
        let ops = self.limits.txn_ops();
        let limits = Limits {
            ops,
            conditions: ops * 4,
            value_bytes: self.limits.value_bytes(),
            taken_bytes: self.limits.taken_bytes(),
            large_grow: !self.cell.terse(),
            part_bytes: self.part_bytes(),
        };
        self.rounds.next = now + Micros::millis(self.operator_settings.round_ms);
        let Some(PlannedRound {
            commit,
            assigned,
            released,
        }) = self.plan_round(limits, urgent_only)
        else {
            self.rounds.requested = urgent_only;
            return;
        };
        self.budget.force(now, commit.txn.then.len());
        self.rounds.last = now;
        // The end of a job takes two more changes, so a full round of many may be a little short.
        if commit.txn.then.len() + (ops / 6).min(2) >= ops {
            self.rounds.last_full = Some(now);
        }
        self.rounds.in_flight = true;
        let in_flight = InFlight {
            changes: commit.changes,
            ended: commit.ended,
            assigned,
            released,
        };
        self.ask_state(
            Purpose::Round(Box::new(in_flight)),
            StateRequest::Txn(commit.txn),
        );
    }

    /// Whether the copy is new enough for a round, or a read has made it so. The watch rests for a while after each
    /// answer; what is planned in that time on what others have changed meanwhile would only clash.
    fn read_before_round(&mut self) -> bool {
        const PATIENCE: Micros = Micros::millis(100);
        let now = self.now.steady;
        if let Some((call, asked)) = self.rounds.reading {
            if !self.replica.passed(call) && now < asked + PATIENCE {
                self.wake_at(asked + PATIENCE);
                return false;
            }
            self.rounds.reading = None;
            return true;
        }
        if self.replica.is_fresh(now)
            || self.settings.others.is_empty()
            || !self.budget.has_requests(now)
        {
            return true;
        }
        self.rounds.reading = Some((self.next_call - 1, now));
        self.replica.want_barrier();
        self.wake_at(now + PATIENCE);
        false
    }

    /// Whether small rounds should be gathered into larger ones: a peer has more to write than its share
    /// of the rate, this controller has not, and nothing here must start at once.
    fn should_batch(&self) -> bool {
        let now = self.now.steady;
        let fresh = |told: Micros| now.since(told) < Micros::secs(3);
        !self.rounds.saturated(now)
            && self
                .peers
                .values()
                .any(|(told, hint)| hint.saturated && fresh(*told))
            && !self.urgent_waits()
    }

    /// Whether something waits that must start at once.
    fn urgent_waits(&self) -> bool {
        self.cell
            .jobs
            .iter()
            .any(|(id, j)| self.urgent(*id, j) && self.cell.pending_count(*id, j) > 0)
    }

    /// Whether a job is this controller's, and must start at once.
    fn urgent(&self, id: JobId, job: &Job) -> bool {
        self.starts_at_once(job.spec())
            && job.ready()
            && self.leads(self.cell.shard_of_job(id, job.spec()))
            && !self.rounds.is_suspect(id)
            && !self.belongs_to_team_without_shard(job)
            && !self.rules.is_unschedulable(id)
    }

    pub(super) fn on_round(&mut self, round: InFlight, result: Result<StateReply, CallError>) {
        let now = self.now.steady;
        self.rounds.in_flight = false;
        self.rounds.requested = true;
        match result {
            Ok(StateReply::Applied(revision)) => {
                self.counters.commits += 1;
                self.counters.assigned += round.assigned.len() as u64;
                self.counters.released += round.released as u64;
                let spent = &mut self.counters.changes;
                spent.ends += round.ended.len() as u64;
                for c in &round.changes {
                    *match c.key {
                        Key::Group(..) => &mut spent.groups,
                        Key::Usage(_) => &mut spent.usage,
                        _ => &mut spent.jobs,
                    } += 1;
                }
                for (c, number) in &round.assigned {
                    let k = self
                        .cell
                        .jobs
                        .get(&c.job)
                        .map(|j| self.cell.shard_of_job(c.job, j.spec()));
                    let term = k.map_or(0, |k| self.cell.mod_revision(&Key::ShardLeader(k)));
                    tracing::info!(task = %TaskId { job: c.job, index: c.index }, attempt = number,
                        machine = %c.machine, term, "booked");
                    if let Some(met) = self.preference_met(c.job, c.machine) {
                        self.counters.preferences.0 += 1;
                        self.counters.preferences.1 += u64::from(met);
                    }
                }
                let changes = round.changes.into_iter().map(|mut c| {
                    c.mod_revision = revision;
                    c
                });
                let mut changes_seen = CellChanges::default();
                self.cell.apply(changes, &mut changes_seen);
                for (id, f) in round.ended {
                    self.rounds.unanswered_ends.remove(&id);
                    log_end(id, f);
                    self.users.remember(id, f);
                }
                self.on_cell_changed(&changes_seen);
            }
            Ok(StateReply::Clash(keys, revision)) => {
                self.counters.clashes += 1;
                self.counters.dropped += round.assigned.len() as u64;
                tracing::debug!(?keys, claims = round.assigned.len(), "the round clashed");
                self.rounds.hold_until_revision = revision;
                self.replica.want_barrier();
            }
            Err(CallError::Unavailable | CallError::TooMany) => {
                self.rounds.next = now + Micros::millis(250)
            }
            _ => {
                self.counters.unknown += 1;
                tracing::info!(claims = round.assigned.len(), "the round had no answer");
                self.rounds.hold_call = Some(self.next_call);
                for (id, f) in round.ended {
                    // The watch is mostly faster than the end of waiting.
                    if self.cell.jobs.contains_key(&id) {
                        self.rounds.unanswered_ends.insert(id, f);
                    } else {
                        log_end(id, f);
                    }
                }
                self.replica.want_barrier();
            }
        }
    }

    /// A job has left the copy: if a round of this controller without an answer ended it, that is told now.
    pub(super) fn on_job_gone(&mut self, id: JobId) {
        if let Some(f) = self.rounds.unanswered_ends.remove(&id) {
            log_end(id, f);
        }
    }
}
