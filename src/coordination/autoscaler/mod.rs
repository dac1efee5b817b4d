//! Hiring and returning machines: the work of slice 0's owner, who alone talks to the cloud.

mod cloud_responses;
mod scale_in;

use crate::coordination::Controller;
use crate::protocol::cloud::{CloudMachine, CloudMachineState, CloudRequest, PROVISION_LIMIT};
use crate::protocol::state::encode;
use crate::scheduler::boot_times::BootTimeEstimates;
use crate::scheduler::provisioning::{Demand, MachineOffer, MachinePools, plan};
use crate::storage::catalog::Catalog;
use crate::storage::cell_state::Job;
use crate::storage::ids::{JobId, MachineId};
use crate::storage::machine_classes::ClassId;
use crate::storage::records::{MachineHealth, ProvisionRecord};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Why the cloud was asked.
#[derive(Debug)]
pub enum CloudPurpose {
    /// Types and prices.
    Catalog,
    /// A rental.
    Provision(ProvisionRecord),
    /// A return.
    Release(Vec<MachineId>),
    /// A page of the list.
    List(Vec<CloudMachine>),
}

/// A machine that the cloud is known to charge for.
#[derive(Clone, Debug)]
struct Known {
    machine_type: String,
    zone: String,
    spot: bool,
    since: Micros,
    status: CloudMachineState,
    /// When a list last held it.
    listed: Option<Micros>,
    /// It was hired in this tenure and has not come up yet.
    booting: bool,
}

/// What the fleet's owner knows.
#[derive(Debug, Default)]
pub struct Autoscaler {
    looking: bool,
    next: Micros,
    next_list: Micros,
    next_look: Micros,
    next_catalog: Micros,
    asking_catalog: bool,
    listing: bool,
    list_sent: Micros,
    /// Lists completed since the tenure began, and when the last of them was asked for.
    lists: u32,
    last_list: Micros,
    known: BTreeMap<MachineId, Known>,
    boot_times: BootTimeEstimates,
    /// Expected boot times, by type: now, and as last logged.
    expected: BTreeMap<String, (Micros, Micros)>,
    idle: HashMap<MachineId, Micros>,
    spare: BTreeMap<MachineOffer, Spare>,
    lost: HashMap<MachineId, Micros>,
    released: BTreeSet<MachineId>,
    releasing: BTreeSet<MachineId>,
    /// Machines whose release was answered.
    confirmed: BTreeSet<MachineId>,
    provisioning: usize,
    writing: bool,
    none_left: HashMap<MachineOffer, (Micros, u32)>,
    counter: u64,
    trouble_until: Micros,
}

/// The least number of machines of one offer that were idle at any time of a window.
///
/// Single machines of a large fleet take turns in being idle, so none may be idle for long although
/// many always are. As many as never had work at once in the time that a new one takes to boot are
/// not needed: should that turn out wrong, one is there again as soon as they were idle.
#[derive(Debug, Default)]
struct Spare {
    /// When the window began, and ever larger counts within it: the first is the least.
    since: Option<Micros>,
    counts: VecDeque<(Micros, usize)>,
}

impl Spare {
    /// Notes how many are idle now; the least of the window, once it is full.
    fn note(&mut self, now: Micros, idle: usize, window: Micros) -> usize {
        let since = *self.since.get_or_insert(now);
        while self.counts.back().is_some_and(|(_, n)| *n >= idle) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, idle));
        while self
            .counts
            .front()
            .is_some_and(|(t, _)| now.since(*t) > window)
        {
            self.counts.pop_front();
        }
        if now.since(since) < window {
            0
        } else {
            self.counts.front().map_or(0, |(_, n)| *n)
        }
    }

    /// So many of them are returned.
    fn take(&mut self, returned: usize) {
        for (_, n) in &mut self.counts {
            *n = n.saturating_sub(returned);
        }
    }
}

impl Autoscaler {
    /// Something changed that may call for machines.
    pub fn schedule_check(&mut self) {
        self.looking = true;
    }

    /// This process did not run for so long: what was idle, silent or on its way is not judged by that time.
    pub fn on_stall(&mut self, now: Micros, span: Micros) {
        self.idle.clear();
        self.lost.clear();
        self.spare.clear();
        for k in self.known.values_mut().filter(|k| k.booting) {
            // It may have come up meanwhile, and nothing is learned of how long that took.
            k.booting = false;
            k.since += span;
        }
        self.next_list = now;
    }
}

impl Controller {
    const CLOUD_LIMIT: Micros = Micros::secs(5);

    pub(super) fn end_autoscaler(&mut self) {
        let counter = self.autoscaler.counter;
        self.autoscaler = Autoscaler {
            counter,
            ..Autoscaler::default()
        };
        self.rounds.drop_fleet();
    }

    pub(super) fn drive_autoscaler(&mut self) {
        let now = self.now.steady;
        if !self.leads(0) || !self.replica.ready() {
            return;
        }
        if now < self.autoscaler.next {
            self.wake_at(self.autoscaler.next);
            return;
        }
        self.autoscaler.next = now + Micros::millis(500);
        self.wake_at(self.autoscaler.next);
        if now < self.autoscaler.trouble_until {
            return;
        }
        if now >= self.autoscaler.next_catalog && !self.autoscaler.asking_catalog {
            self.autoscaler.asking_catalog = true;
            self.ask_cloud(CloudPurpose::Catalog, CloudRequest::Catalog);
        }
        if now >= self.autoscaler.next_list && !self.autoscaler.listing {
            self.autoscaler.listing = true;
            self.autoscaler.list_sent = now;
            self.ask_cloud(CloudPurpose::List(Vec::new()), CloudRequest::List(None));
        }
        // Before the first list it is not known what an earlier owner has hired.
        if self.cell.types.value.is_none() || self.autoscaler.lists == 0 {
            return;
        }
        self.note_boots();
        self.return_machines();
        if now >= self.autoscaler.next_look {
            // What was expected to come may not have come.
            self.autoscaler.next_look = now + Micros::secs(2);
            self.autoscaler.looking = true;
        }
        if self.autoscaler.looking && self.autoscaler.provisioning == 0 && !self.autoscaler.writing
        {
            self.autoscaler.looking = false;
            self.refresh_rules();
            self.provision_machines();
        }
    }

    /// Tasks of live jobs that have no place, as far as their teams' limits let them have one.
    fn demands(&self) -> Vec<Demand<'_>> {
        let lost = self.lost_with_zones();
        let count = |id: &JobId, j: &Job| {
            u64::from(self.cell.pending_count(*id, j)) + lost.get(id).copied().unwrap_or_default()
        };
        let mut jobs: Vec<_> = self
            .cell
            .jobs
            .iter()
            .filter(|(id, j)| !self.rounds.is_suspect(**id) && count(id, j) > 0)
            .filter(|(id, j)| j.ready() || self.nears(j) && self.lacks_machines(**id, j))
            .collect();
        jobs.sort_by_key(|(id, j)| (j.priority(), self.latest_start(j), **id));
        let mut used: BTreeMap<&str, u64> = BTreeMap::new();
        let mut demands = Vec::new();
        for (id, j) in jobs {
            let spec = j.spec();
            let k = self.cell.shard_of_job(*id, spec);
            let used = used
                .entry(&spec.team)
                .or_insert_with(|| self.cell.used(k, &spec.team).0);
            let mut count = count(id, j);
            if let Some(limit) = self.settings.team(&spec.team).and_then(|t| t.cores_limit) {
                let left = limit.saturating_sub(*used).checked_div(spec.need.cores);
                count = count.min(left.unwrap_or(u64::MAX));
            }
            *used += count * spec.need.cores;
            if count > 0 {
                let Ok(places) = self.places_for(*id, j) else {
                    continue;
                };
                let slack = self.latest_start(j).since(self.now.day);
                let price_limit = self.price_limit(j);
                demands.push(Demand {
                    spec,
                    count,
                    slack,
                    run: spec.estimated_runtime,
                    price_limit,
                    places,
                });
            }
        }
        demands
    }

    /// Whether a job's turn is near: of what it awaits all tasks that are left have started.
    fn nears(&self, job: &Job) -> bool {
        let started = |f: &JobId| match self.cell.jobs.get(f) {
            Some(j) => {
                j.ready() && !self.rounds.is_suspect(*f) && self.cell.pending_count(*f, j) == 0
            }
            None => true,
        };
        !job.cancelled()
            && !job.dependency_state.doubtful
            && job.spec().dependencies.iter().all(started)
    }

    /// Whether the machines that a job may use would not hold it even if nothing else ran there: where
    /// many are up some have room in time, and hiring ahead of the turn only costs.
    fn lacks_machines(&self, id: JobId, job: &Job) -> bool {
        let spec = job.spec();
        let mut left = u64::from(spec.task_count);
        for (_, m, r) in self.cell.machines() {
            if left == 0 {
                return false;
            }
            if r.health == MachineHealth::Schedulable
                && spec.allows(&r.machine_type, &r.zone, r.spot)
                && self.may_use(id, m)
                && let Some(t) = self.cell.machine_type(&r.machine_type)
            {
                left -= spec.need.times_in(&t.room, left);
            }
        }
        left > 0
    }

    /// The class of machines that could be hired, where rules ask for it.
    fn class_of_offer(&self, machine_type: &str, zone: &str, spot: bool) -> Option<ClassId> {
        self.rules
            .active()
            .then(|| self.cell.classes.of_offer(machine_type, zone, spot))
            .flatten()
    }

    /// Machines that are up or expected to come up.
    fn pools<'a>(&'a self, catalog: &Catalog) -> MachinePools<'a> {
        let mut pools = MachinePools::default();
        let ruled = self.rules.active();
        for (m, r) in self.cell.machines_up() {
            // Half of what is booked is over, on the average.
            let work = r
                .tasks
                .iter()
                .filter_map(|b| self.cell.jobs.get(&b.attempt().task.job))
                .map(|j| {
                    u128::from(j.spec().need.cores) * u128::from(j.spec().estimated_runtime.0 / 2)
                });
            let class = ruled.then(|| self.cell.classes.of(m)).flatten();
            let free = Some((self.cell.free(r), Some(m)));
            pools.add(
                (&r.machine_type, &r.zone, r.spot),
                catalog,
                class,
                1,
                free,
                work.sum(),
            );
        }
        for (_, k) in self
            .autoscaler
            .known
            .iter()
            .filter(|(m, k)| self.is_booting(**m, k))
        {
            let class = self.class_of_offer(&k.machine_type, &k.zone, k.spot);
            pools.add(
                (&k.machine_type, &k.zone, k.spot),
                catalog,
                class,
                1,
                None,
                0,
            );
        }
        // Rentals of an earlier owner whose machines no list shows yet.
        for h in &self.cell.fleet.value.provision_requests {
            let age = self.now.day.since(h.at);
            if age < self.settings.list_lag * 2 + Micros::secs(8) {
                let class = self.class_of_offer(&h.machine_type, &h.zone, h.spot);
                pools.add(
                    (&h.machine_type, &h.zone, h.spot),
                    catalog,
                    class,
                    h.count.into(),
                    None,
                    0,
                );
            }
        }
        pools
    }

    fn provision_machines(&mut self) {
        let now = self.now.steady;
        let Some(catalog) = &self.cell.types.value else {
            return;
        };
        let demands = self.demands();
        if demands.is_empty() {
            return;
        }
        let mut catalog = catalog.clone();
        for t in &mut catalog.types {
            // That boots were late lately must not keep work from machines that may be prompt again.
            t.boot = self.expected_boot(&t.name).min(t.boot * 2);
        }
        let catalog = &catalog;
        let none_left = &self.autoscaler.none_left;
        let offered = |o: &MachineOffer| {
            !self.zones.is_lost(&o.zone) && none_left.get(o).is_none_or(|(until, _)| *until <= now)
        };
        let class_of = |o: &MachineOffer| self.class_of_offer(&o.machine_type, &o.zone, o.spot);
        let provision_requests = plan(
            catalog,
            &demands,
            &mut self.pools(catalog),
            &offered,
            &class_of,
        );
        drop(demands);
        if provision_requests.is_empty() {
            return;
        }
        let mut record = self.fleet_record();
        let mut new = Vec::new();
        // A rental must not be forgotten before it is known what came of it: while the record is
        // full of such, nothing more is hired.
        let most = self.limits.value_bytes() / 8 * 7;
        let mut size = encode(&record).map_or(usize::MAX, |r| r.get().len());
        'all: for (offer, mut count) in provision_requests {
            while count > 0 {
                self.autoscaler.counter += 1;
                let provision = ProvisionRecord {
                    // Never used again, not even by another process or after a restart.
                    name: format!(
                        "{}-{:016x}-{}",
                        self.settings.node, self.incarnation.0, self.autoscaler.counter
                    ),
                    machine_type: offer.machine_type.clone(),
                    zone: offer.zone.clone(),
                    spot: offer.spot,
                    count: count.min(PROVISION_LIMIT),
                    at: self.now.day,
                };
                size += encode(&provision).map_or(0, |r| r.get().len() + 1);
                if size > most || new.len() >= self.settings.cloud_rps as usize {
                    break 'all;
                }
                count -= provision.count;
                new.push(provision);
            }
        }
        if new.is_empty() {
            return;
        }
        record.provision_requests.extend(new.iter().cloned());
        self.write_fleet(record, new);
    }

    /// Whether a known machine is still expected to come up.
    fn is_booting(&self, m: MachineId, k: &Known) -> bool {
        self.cell.machine(m).is_none()
            && k.status != CloudMachineState::Failed
            && !self.autoscaler.released.contains(&m)
            && self.now.steady.since(k.since) < self.boot_patience(&k.machine_type)
    }

    /// Notes which machines have come up, and what that says of their types.
    fn note_boots(&mut self) {
        let now = self.now.steady;
        let cell = &self.cell;
        for (m, k) in self
            .autoscaler
            .known
            .iter_mut()
            .filter(|(m, k)| k.booting && cell.machine(**m).is_some())
        {
            k.booting = false;
            let took = now.since(k.since);
            tracing::debug!(machine = %m, %took, "up");
            self.autoscaler.boot_times.ended(&k.machine_type, now, took);
        }
        let mut ages: HashMap<&str, Vec<Micros>> = HashMap::new();
        for (m, k) in self
            .autoscaler
            .known
            .iter()
            .filter(|(_, k)| k.booting && k.status != CloudMachineState::Failed)
        {
            if !self.autoscaler.released.contains(m) {
                ages.entry(&k.machine_type)
                    .or_default()
                    .push(now.since(k.since));
            }
        }
        for t in cell.machine_types() {
            let waiting = ages.remove(t.name.as_str()).unwrap_or_default();
            let expected =
                self.autoscaler
                    .boot_times
                    .expected(&t.name, t.boot, now, waiting.into_iter());
            let known = self
                .autoscaler
                .expected
                .entry(t.name.clone())
                .or_insert((t.boot, t.boot));
            known.0 = expected;
            if expected > known.1 * 2 || known.1 > expected * 2 {
                tracing::info!(machine_type = t.name, %expected, nominal = %t.boot, "boots take another time than before");
                known.1 = expected;
            }
        }
    }

    fn nominal_boot(&self, machine_type: &str) -> Micros {
        self.cell
            .machine_type(machine_type)
            .map_or(Micros::secs(60), |t| t.boot)
    }

    /// How long a machine of this type takes to come up at present.
    pub(super) fn expected_boot(&self, machine_type: &str) -> Micros {
        self.autoscaler
            .expected
            .get(machine_type)
            .map_or_else(|| self.nominal_boot(machine_type), |(now, _)| *now)
    }

    /// How long a machine of this type may take to come up before it no longer counts as coming: half
    /// as long again as boots take now, within reason.
    fn boot_patience(&self, machine_type: &str) -> Micros {
        let (nominal, expected) = (
            self.nominal_boot(machine_type),
            self.expected_boot(machine_type),
        );
        let starvation = Micros(expected.0 / 2 * 3);
        starvation.clamp(Micros(nominal.0 / 2 * 3), nominal * 5) + Micros::secs(5)
    }
}
