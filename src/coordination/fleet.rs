//! Hiring and returning machines: the work of slice 0's owner, who alone talks to the cloud.

use super::{Call, CallId, Controller, Effect, Purpose};
use crate::bookkeeping::boots::Boots;
use crate::bookkeeping::catalog::Catalog;
use crate::bookkeeping::classes::ClassId;
use crate::bookkeeping::fleet::{Demand, Offer, Pools, core_price, plan};
use crate::bookkeeping::ids::{JobId, MachineId};
use crate::bookkeeping::records::{Fitness, FleetRecord, HireRecord, Key};
use crate::bookkeeping::time::Micros;
use crate::bookkeeping::view::{Change, Content, Job, Touched};
use crate::protocol::cloud::{CloudReply, CloudRequest, HIRE_LIMIT, Host, HostStatus, RELEASE_LIMIT};
use crate::protocol::state::{CallError, Put, StateReply, StateRequest, Txn, encode};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Why the cloud was asked.
#[derive(Debug)]
pub enum CloudPurpose {
    /// Types and prices.
    Catalog,
    /// A rental.
    Hire(HireRecord),
    /// A return.
    Release(Vec<MachineId>),
    /// A page of the list.
    List(Vec<Host>),
}

/// A machine that the cloud is known to charge for.
#[derive(Clone, Debug)]
struct Known {
    build: String,
    yard: String,
    spot: bool,
    since: Micros,
    status: HostStatus,
    /// When a list last held it.
    listed: Option<Micros>,
    /// It was hired in this tenure and has not come up yet.
    booting: bool,
}

/// What the fleet's owner knows.
#[derive(Debug, Default)]
pub struct Fleet {
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
    boots: Boots,
    /// Expected boot times, by type: now, and as last logged.
    expected: BTreeMap<String, (Micros, Micros)>,
    idle: HashMap<MachineId, Micros>,
    spare: BTreeMap<Offer, Spare>,
    lost: HashMap<MachineId, Micros>,
    released: BTreeSet<MachineId>,
    releasing: BTreeSet<MachineId>,
    /// Machines whose release was answered.
    confirmed: BTreeSet<MachineId>,
    hiring: usize,
    writing: bool,
    none_left: HashMap<Offer, (Micros, u32)>,
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
        while self.counts.front().is_some_and(|(t, _)| now.since(*t) > window) {
            self.counts.pop_front();
        }
        if now.since(since) < window { 0 } else { self.counts.front().map_or(0, |(_, n)| *n) }
    }

    /// So many of them are returned.
    fn take(&mut self, returned: usize) {
        for (_, n) in &mut self.counts {
            *n = n.saturating_sub(returned);
        }
    }
}

impl Fleet {
    /// Something changed that may call for machines.
    pub fn look(&mut self) {
        self.looking = true;
    }
}

impl Controller {
    const CLOUD_LIMIT: Micros = Micros::secs(5);

    pub(super) fn end_fleet(&mut self) {
        let counter = self.fleet.counter;
        self.fleet = Fleet { counter, ..Fleet::default() };
        self.rounds.drop_fleet();
    }

    fn ask_cloud(&mut self, purpose: CloudPurpose, request: CloudRequest) {
        let id = self.call(Purpose::Cloud(purpose));
        self.out.push(Effect::Cloud(id, request, Self::CLOUD_LIMIT));
    }

    pub(super) fn pump_fleet(&mut self) {
        let now = self.now.steady;
        if !self.owns(0) || !self.reader.ready() {
            return;
        }
        if now < self.fleet.next {
            self.wake_at(self.fleet.next);
            return;
        }
        self.fleet.next = now + Micros::millis(500);
        self.wake_at(self.fleet.next);
        if now < self.fleet.trouble_until {
            return;
        }
        if now >= self.fleet.next_catalog && !self.fleet.asking_catalog {
            self.fleet.asking_catalog = true;
            self.ask_cloud(CloudPurpose::Catalog, CloudRequest::Catalog);
        }
        if now >= self.fleet.next_list && !self.fleet.listing {
            self.fleet.listing = true;
            self.fleet.list_sent = now;
            self.ask_cloud(CloudPurpose::List(Vec::new()), CloudRequest::List(None));
        }
        // Before the first list it is not known what an earlier owner has hired.
        if self.view.types.value.is_none() || self.fleet.lists == 0 {
            return;
        }
        self.note_boots();
        self.return_machines();
        if now >= self.fleet.next_look {
            // What was expected to come may not have come.
            self.fleet.next_look = now + Micros::secs(2);
            self.fleet.looking = true;
        }
        if self.fleet.looking && self.fleet.hiring == 0 && !self.fleet.writing {
            self.fleet.looking = false;
            self.refresh_rules();
            self.hire_machines();
        }
    }

    /// Tasks of live jobs that have no place, as far as their teams' limits let them have one.
    fn demands(&self) -> Vec<Demand<'_>> {
        let mut jobs: Vec<_> = self
            .view
            .jobs
            .iter()
            .filter(|(id, j)| !self.rounds.is_suspect(**id) && self.view.pending_count(**id, j) > 0)
            .filter(|(id, j)| j.ready() || self.nears(j) && self.lacks_machines(**id, j))
            .collect();
        jobs.sort_by_key(|(id, j)| (j.urgency(), self.latest_start(j), **id));
        let mut used: BTreeMap<&str, u64> = BTreeMap::new();
        let mut demands = Vec::new();
        for (id, j) in jobs {
            let spec = j.spec();
            let k = self.view.job_slice(*id, spec);
            let used = used.entry(&spec.crew).or_insert_with(|| self.view.used(k, &spec.crew).0);
            let mut count = u64::from(self.view.pending_count(*id, j));
            if let Some(limit) = self.cfg.team(&spec.crew).and_then(|t| t.cores_limit) {
                let left = limit.saturating_sub(*used).checked_div(spec.need.cores);
                count = count.min(left.unwrap_or(u64::MAX));
            }
            *used += count * spec.need.cores;
            if count > 0 {
                let Ok(places) = self.places_for(*id, j) else { continue };
                let slack = self.latest_start(j).since(self.now.day);
                let price_limit = self.price_limit(j);
                demands.push(Demand { spec, count, slack, run: spec.guess, price_limit, places });
            }
        }
        demands
    }

    /// Whether a job's turn is near: of what it awaits all tasks that are left have started.
    fn nears(&self, job: &Job) -> bool {
        let started = |f: &JobId| match self.view.jobs.get(f) {
            Some(j) => j.ready() && !self.rounds.is_suspect(*f) && self.view.pending_count(*f, j) == 0,
            None => true,
        };
        !job.cancelled() && !job.stage.doubtful && job.spec().awaits.iter().all(started)
    }

    /// Whether the machines that a job may use would not hold it even if nothing else ran there: where
    /// many are up some have room in time, and hiring ahead of the turn only costs.
    fn lacks_machines(&self, id: JobId, job: &Job) -> bool {
        let spec = job.spec();
        let mut left = u64::from(spec.pieces);
        for (_, m, r) in self.view.machines() {
            if left == 0 {
                return false;
            }
            if r.fitness == Fitness::Up
                && spec.allows(&r.build, &r.yard, r.spot)
                && self.may_use(id, m)
                && let Some(t) = self.view.machine_type(&r.build)
            {
                left -= spec.need.times_in(&t.room, left);
            }
        }
        left > 0
    }

    /// The class of machines that could be hired, where rules ask for it.
    fn class_of_offer(&self, build: &str, yard: &str, spot: bool) -> Option<ClassId> {
        self.rules.active().then(|| self.view.classes.of_offer(build, yard, spot)).flatten()
    }

    /// Machines that are up or expected to come up.
    fn pools<'a>(&'a self, catalog: &Catalog) -> Pools<'a> {
        let mut pools = Pools::default();
        let ruled = self.rules.active();
        for (_, m, r) in self.view.machines().filter(|(_, _, r)| r.fitness == Fitness::Up) {
            // Half of what is booked is over, on the average.
            let work = r
                .tasks
                .iter()
                .filter_map(|b| self.view.jobs.get(&b.attempt().task.job))
                .map(|j| u128::from(j.spec().need.cores) * u128::from(j.spec().guess.0 / 2));
            let class = ruled.then(|| self.view.classes.of(m)).flatten();
            let free = Some((self.view.free(r), Some(m)));
            pools.add((&r.build, &r.yard, r.spot), catalog, class, 1, free, work.sum());
        }
        for (_, k) in self.fleet.known.iter().filter(|(m, k)| self.boots(**m, k)) {
            let class = self.class_of_offer(&k.build, &k.yard, k.spot);
            pools.add((&k.build, &k.yard, k.spot), catalog, class, 1, None, 0);
        }
        // Rentals of an earlier owner whose machines no list shows yet.
        for h in &self.view.fleet.value.hires {
            let age = self.now.day.since(h.at);
            if age < self.cfg.list_lag * 2 + Micros::secs(8) {
                let class = self.class_of_offer(&h.build, &h.yard, h.spot);
                pools.add((&h.build, &h.yard, h.spot), catalog, class, h.count.into(), None, 0);
            }
        }
        pools
    }

    fn hire_machines(&mut self) {
        let now = self.now.steady;
        let Some(catalog) = &self.view.types.value else { return };
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
        let none_left = &self.fleet.none_left;
        let offered = |o: &Offer| none_left.get(o).is_none_or(|(until, _)| *until <= now);
        let class_of = |o: &Offer| self.class_of_offer(&o.build, &o.yard, o.spot);
        let hires = plan(catalog, &demands, &mut self.pools(catalog), &offered, &class_of);
        drop(demands);
        if hires.is_empty() {
            return;
        }
        let mut record = self.fleet_record();
        let mut new = Vec::new();
        // A rental must not be forgotten before it is known what came of it: while the record is
        // full of such, nothing more is hired.
        let most = self.limits.value_bytes() / 8 * 7;
        let mut size = encode(&record).map_or(usize::MAX, |r| r.get().len());
        'all: for (offer, mut count) in hires {
            while count > 0 {
                self.fleet.counter += 1;
                let hire = HireRecord {
                    // Never used again, not even by another process or after a restart.
                    name: format!("{}-{:016x}-{}", self.cfg.node, self.run.0, self.fleet.counter),
                    build: offer.build.clone(),
                    yard: offer.yard.clone(),
                    spot: offer.spot,
                    count: count.min(HIRE_LIMIT),
                    at: self.now.day,
                };
                size += encode(&hire).map_or(0, |r| r.get().len() + 1);
                if size > most || new.len() >= self.cfg.cloud_rps as usize {
                    break 'all;
                }
                count -= hire.count;
                new.push(hire);
            }
        }
        if new.is_empty() {
            return;
        }
        record.hires.extend(new.iter().cloned());
        self.write_fleet(record, new);
    }

    /// Whether a known machine is still expected to come up.
    fn boots(&self, m: MachineId, k: &Known) -> bool {
        self.view.machine(m).is_none()
            && k.status != HostStatus::Failed
            && !self.fleet.released.contains(&m)
            && self.now.steady.since(k.since) < self.boot_patience(&k.build)
    }

    /// Notes which machines have come up, and what that says of their types.
    fn note_boots(&mut self) {
        let now = self.now.steady;
        let view = &self.view;
        for (m, k) in self.fleet.known.iter_mut().filter(|(m, k)| k.booting && view.machine(**m).is_some()) {
            k.booting = false;
            let took = now.since(k.since);
            tracing::debug!(machine = %m, %took, "up");
            self.fleet.boots.ended(&k.build, now, took);
        }
        let mut ages: HashMap<&str, Vec<Micros>> = HashMap::new();
        for (m, k) in self.fleet.known.iter().filter(|(_, k)| k.booting && k.status != HostStatus::Failed) {
            if !self.fleet.released.contains(m) {
                ages.entry(&k.build).or_default().push(now.since(k.since));
            }
        }
        for t in view.types.value.iter().flat_map(|c| &c.types) {
            let waiting = ages.remove(t.name.as_str()).unwrap_or_default();
            let expected = self.fleet.boots.expected(&t.name, t.boot, now, waiting.into_iter());
            let known = self.fleet.expected.entry(t.name.clone()).or_insert((t.boot, t.boot));
            known.0 = expected;
            if expected > known.1 * 2 || known.1 > expected * 2 {
                tracing::info!(build = t.name, %expected, nominal = %t.boot, "boots take another time than before");
                known.1 = expected;
            }
        }
    }

    fn nominal_boot(&self, build: &str) -> Micros {
        self.view.machine_type(build).map_or(Micros::secs(60), |t| t.boot)
    }

    /// How long a machine of this type takes to come up at present.
    pub(super) fn expected_boot(&self, build: &str) -> Micros {
        self.fleet.expected.get(build).map_or_else(|| self.nominal_boot(build), |(now, _)| *now)
    }

    /// How long a machine of this type may take to come up before it no longer counts as coming: half
    /// as long again as boots take now, within reason.
    fn boot_patience(&self, build: &str) -> Micros {
        let (nominal, expected) = (self.nominal_boot(build), self.expected_boot(build));
        let patience = Micros(expected.0 / 2 * 3);
        patience.clamp(Micros(nominal.0 / 2 * 3), nominal * 5) + Micros::secs(5)
    }

    /// The fleet's record without what is long settled.
    fn fleet_record(&self) -> FleetRecord {
        let mut record = self.view.fleet.value.clone();
        let old = self.cfg.list_lag * 4 + Micros::secs(60);
        record.hires.retain(|h| self.now.day.since(h.at) < old);
        record.releasing.retain(|m| !self.fleet.confirmed.contains(m));
        record
    }

    fn write_fleet(&mut self, record: FleetRecord, new: Vec<HireRecord>) {
        let value = encode(&record);
        if value.as_ref().is_none_or(|v| v.get().len() > self.limits.taken_bytes()) {
            // Written under larger limits. Rentals are soon old enough to be left out, and releases answered.
            return;
        }
        let txn = Txn {
            when: vec![(Key::Own(0), self.view.stamp(&Key::Own(0))), (Key::Fleet, self.view.fleet.stamp)],
            then: vec![Put { key: Key::Fleet, value, permit: None }],
        };
        self.fleet.writing = true;
        self.budget.force(self.now.steady, 1);
        self.ask_state(Purpose::Fleet(Box::new((record, new))), StateRequest::Txn(txn));
    }

    /// The plan is on record: what is new in it is rented now. That is known by what was written,
    /// not by comparing with the copy: the watch may have brought the record before this answer.
    pub(super) fn on_fleet_written(
        &mut self,
        (record, new): (FleetRecord, Vec<HireRecord>),
        result: Result<StateReply, CallError>,
    ) {
        self.fleet.writing = false;
        self.fleet.looking = true;
        let Ok(StateReply::Applied(stamp)) = result else {
            tracing::debug!(?result, "the plan of the fleet was not written");
            self.reader.want_barrier();
            return;
        };
        let change = Change { key: Key::Fleet, content: Some(Content::Fleet(record)), stamp };
        self.view.apply([change], &mut Touched::default());
        if !self.owns(0) {
            return;
        }
        for h in new {
            tracing::info!(hire = h.name, build = h.build, spot = h.spot, count = h.count, "hiring");
            self.fleet.hiring += 1;
            let request = CloudRequest::Hire {
                name: h.name.clone(),
                build: h.build.clone(),
                yard: h.yard.clone(),
                spot: h.spot,
                count: h.count,
            };
            self.ask_cloud(CloudPurpose::Hire(h), request);
        }
    }

    pub(super) fn on_cloud(&mut self, id: CallId, result: Result<CloudReply, CallError>) {
        let Some(Call { purpose: Purpose::Cloud(purpose), .. }) = self.calls.remove(&id) else {
            return;
        };
        if !self.owns(0) {
            return;
        }
        let now = self.now.steady;
        if matches!(result, Err(CallError::Unavailable | CallError::TooMany | CallError::Unknown)) {
            self.fleet.trouble_until = now + Micros::millis(1_500);
        }
        match purpose {
            CloudPurpose::Catalog => {
                self.fleet.asking_catalog = false;
                match result {
                    Ok(CloudReply::Catalog(c)) => {
                        self.fleet.next_catalog = now + Micros::secs(30);
                        self.on_catalog(c);
                    }
                    _ => self.fleet.next_catalog = now + Micros::secs(1),
                }
            }
            CloudPurpose::List(pages) => self.on_list(pages, result),
            CloudPurpose::Hire(h) => self.on_hired(&h, result),
            CloudPurpose::Release(machines) => self.on_released(&machines, result),
        }
    }

    fn on_catalog(&mut self, new: Catalog) {
        let moved = |a: u64, b: u64| a.abs_diff(b) * 20 > b.max(1);
        let same = self.view.types.value.as_ref().is_some_and(|old| {
            old.types.len() == new.types.len()
                && old.types.iter().zip(&new.types).all(|(a, b)| {
                    let mut b = b.clone();
                    let small = !moved(a.spot_price, b.spot_price);
                    b.spot_price = a.spot_price;
                    small && *a == b
                })
        });
        let value = encode(&new);
        let size = value.as_ref().map_or(0, |v| v.get().len());
        if same || size > self.limits.value_bytes() {
            return;
        }
        let txn = Txn {
            when: vec![(Key::Own(0), self.view.stamp(&Key::Own(0))), (Key::Types, self.view.types.stamp)],
            then: vec![Put { key: Key::Types, value, permit: None }],
        };
        self.budget.force(self.now.steady, 1);
        self.ask_state(Purpose::Types(new), StateRequest::Txn(txn));
    }

    pub(super) fn on_types_written(&mut self, types: Catalog, result: Result<StateReply, CallError>) {
        match result {
            Ok(StateReply::Applied(stamp)) => {
                let change = Change { key: Key::Types, content: Some(Content::Types(types)), stamp };
                let mut touched = Touched::default();
                self.view.apply([change], &mut touched);
                self.on_touched_view(&touched);
            }
            _ => {
                self.fleet.next_catalog = self.now.steady + Micros::secs(1);
                self.reader.want_barrier();
            }
        }
    }

    fn on_hired(&mut self, h: &HireRecord, result: Result<CloudReply, CallError>) {
        let now = self.now.steady;
        self.fleet.hiring = self.fleet.hiring.saturating_sub(1);
        self.fleet.looking = true;
        let offer = Offer { build: h.build.clone(), yard: h.yard.clone(), spot: h.spot };
        match result {
            Ok(CloudReply::Hired(machines)) => {
                tracing::info!(hire = h.name, asked = h.count, got = machines.len(), "hired");
                if (machines.len() as u32) < h.count {
                    self.fleet.none_left.insert(offer, (now + Micros::secs(5), 1));
                } else {
                    self.fleet.none_left.remove(&offer);
                }
                for m in machines {
                    self.fleet.known.entry(m).or_insert(Known {
                        build: h.build.clone(),
                        yard: h.yard.clone(),
                        spot: h.spot,
                        since: now,
                        status: HostStatus::Starting,
                        listed: None,
                        booting: true,
                    });
                }
                self.forget_hire(&h.name);
            }
            Ok(CloudReply::NoCapacity) | Err(CallError::Refused) => {
                let tries = self.fleet.none_left.get(&offer).map_or(0, |(_, n)| *n) + 1;
                let pause = Micros::secs(3 * u64::from(tries.min(5)));
                tracing::info!(build = h.build, spot = h.spot, pause = %pause, "none to be had");
                self.fleet.none_left.insert(offer, (now + pause, tries));
                self.forget_hire(&h.name);
            }
            // Perhaps hired: the record keeps it counted until a list would show it.
            other => tracing::info!(hire = h.name, ?other, "the rental had no answer"),
        }
    }

    /// What came of a rental is known: it no longer counts by its record. The copy of this
    /// process alone is corrected; another owner would read the list first.
    fn forget_hire(&mut self, name: &str) {
        self.view.fleet.value.hires.retain(|h| h.name != name);
    }

    fn on_list(&mut self, mut hosts: Vec<Host>, result: Result<CloudReply, CallError>) {
        let now = self.now.steady;
        let Ok(CloudReply::Hosts(page, more)) = result else {
            self.fleet.listing = false;
            self.fleet.next_list = now + Micros::secs(2);
            return;
        };
        hosts.extend(page);
        if let (true, Some(last)) = (more, hosts.last()) {
            let after = last.id;
            self.ask_cloud(CloudPurpose::List(hosts), CloudRequest::List(Some(after)));
            return;
        }
        self.fleet.listing = false;
        self.fleet.next_list = now + Micros::secs(4);
        self.fleet.lists += 1;
        let sent = self.fleet.list_sent;
        self.fleet.last_list = sent;
        for h in hosts {
            if h.status == HostStatus::Failed && self.view.machine(h.id).is_some() {
                tracing::info!(machine = %h.id, "failed, says the cloud");
                self.rounds.gone(h.id);
            }
            let nominal = self.nominal_boot(&h.build);
            let known = self.fleet.known.entry(h.id).or_insert_with(|| Known {
                build: h.build.clone(),
                yard: h.yard.clone(),
                spot: h.spot,
                since: now - h.age,
                status: h.status,
                listed: None,
                // Of one that an earlier owner hired long ago only those are left that never come up.
                booting: h.status == HostStatus::Starting && h.age < nominal,
            });
            known.status = h.status;
            known.listed = Some(sent);
        }
        let view = &self.view;
        let old = self.cfg.list_lag * 3 + Micros::secs(20);
        self.fleet.known.retain(|m, k| {
            let last = k.listed.unwrap_or(k.since);
            view.machine(*m).is_some() || now.since(last) < old
        });
    }

    /// How long a machine is kept without work: as long as its next boot would take, a dear one
    /// only for a moment. Less than the shortest charge is never saved.
    fn idle_limit(&self, build: &str, spot: bool) -> Micros {
        let types = self.view.types.value.iter().flat_map(|c| &c.types);
        let cheapest = types.map(|t| core_price(t, true).min(core_price(t, false))).min().unwrap_or(0);
        let derived = match self.view.machine_type(build) {
            Some(t) if core_price(t, spot) > cheapest * 3 / 2 => Micros::secs(5),
            t => t.map_or(Micros::secs(30), |t| self.expected_boot(build).clamp(Micros::secs(2), t.boot * 2)),
        };
        self.op.idle_s.map_or(derived, Micros::from_secs_f64)
    }

    fn return_machines(&mut self) {
        let now = self.now.steady;
        let mut release = Vec::new();
        let mut marks = Vec::new();
        let mut seen_idle = HashMap::new();
        let mut seen_lost = HashMap::new();
        let mut idle_of: BTreeMap<Offer, Vec<(Micros, MachineId)>> = BTreeMap::new();
        for (_, m, r) in self.view.machines() {
            let idle = r.tasks.is_empty();
            let since = *self.fleet.idle.get(&m).unwrap_or(&now);
            if idle {
                seen_idle.insert(m, since);
            }
            match r.fitness {
                Fitness::Releasing => release.push(m),
                Fitness::Draining if idle => marks.push((m, "drained")),
                Fitness::Lost => {
                    let lost = *self.fleet.lost.get(&m).unwrap_or(&now);
                    seen_lost.insert(m, lost);
                    let quiet = now.since(lost);
                    let pressed = r.tasks.iter().any(|b| self.pressed(b.attempt().task.job));
                    if self.unlisted(m) {
                        marks.push((m, "silent and not listed"));
                    } else if pressed {
                        marks.push((m, "silent, and its tasks can still be in time elsewhere"));
                    } else if quiet > self.cfg.lease + if idle { Micros::secs(20) } else { Micros::ZERO } {
                        marks.push((m, "silent for long"));
                    }
                }
                Fitness::Up if idle && now.since(since) > self.idle_limit(&r.build, r.spot) => marks.push((m, "idle")),
                Fitness::Up if idle => {
                    let offer = Offer { build: r.build.to_string(), yard: r.yard.to_string(), spot: r.spot };
                    idle_of.entry(offer).or_default().push((since, m));
                }
                _ => {}
            }
        }
        for offer in self.fleet.spare.keys() {
            idle_of.entry(offer.clone()).or_default();
        }
        for (offer, mut idle) in idle_of {
            let window = self.idle_limit(&offer.build, offer.spot);
            let spare = self.fleet.spare.entry(offer).or_default();
            let count = spare.note(now, idle.len(), window);
            spare.take(count);
            // Those that have been idle the longest.
            idle.sort_unstable();
            marks.extend(idle.into_iter().take(count).map(|(_, m)| (m, "spare")));
        }
        self.fleet.idle = seen_idle;
        self.fleet.lost = seen_lost;
        for (m, why) in marks {
            if self.rounds.releasing(m) {
                tracing::info!(machine = %m, why, "returning");
            }
        }
        let mut given_up = Vec::new();
        for (m, k) in &self.fleet.known {
            let age = now.since(k.since);
            let unused = self.view.machine(*m).is_none() && k.status != HostStatus::Failed;
            let late = self
                .view
                .machine_type(&k.build)
                .is_none_or(|t| age > self.boot_patience(&k.build).max(t.boot * 3) + Micros::secs(5));
            let released = self.fleet.released.contains(m) || self.view.fleet.value.releasing.contains(m);
            if unused && late && !released {
                given_up.push((*m, age));
            }
        }
        let none = given_up.is_empty();
        self.give_up(given_up);
        if none {
            // An earlier owner may have given them up as well.
            let recorded = self.view.fleet.value.releasing.iter();
            release.extend(recorded.filter(|m| !self.fleet.confirmed.contains(m)));
        }
        release.retain(|m| !self.fleet.releasing.contains(m));
        release.truncate(RELEASE_LIMIT);
        if !release.is_empty() {
            self.fleet.releasing.extend(&release);
            self.fleet.released.extend(&release);
            let request = CloudRequest::Release(release.clone());
            self.ask_cloud(CloudPurpose::Release(release), request);
        }
    }

    /// Records that machines are given up, before their release is sent: it may be carried out late, and
    /// they may come up until then. No controller uses them.
    fn give_up(&mut self, machines: Vec<(MachineId, Micros)>) {
        if machines.is_empty() || self.fleet.writing {
            return;
        }
        let mut record = self.fleet_record();
        let most = self.limits.value_bytes() / 2 / 8;
        for (m, age) in machines {
            if record.releasing.len() < most {
                tracing::info!(machine = %m, %age, "never came up, returning");
                record.releasing.push(m);
            }
        }
        self.write_fleet(record, Vec::new());
    }

    /// Whether the last list shows that a machine is gone. Lists may be older than the one before, so
    /// one that was rented lately may be missing without being gone.
    fn unlisted(&self, m: MachineId) -> bool {
        let old = self.cfg.list_lag * 2 + Micros::secs(2);
        self.fleet.lists > 0
            && self.fleet.known.get(&m).is_none_or(|k| {
                k.listed.is_none_or(|t| t < self.fleet.last_list) && self.now.steady.since(k.since) > old
            })
    }

    /// Whether a task of a job, if it had to wait for the lease of a silent machine, would be late, but
    /// not if it were started again at once. A release is proof at once that the machine is gone.
    fn pressed(&self, job: JobId) -> bool {
        self.view.jobs.get(&job).is_some_and(|j| {
            let latest = self.latest_start(j);
            !j.cancelled()
                && !self.rounds.is_suspect(job)
                && latest >= self.now.day
                && latest < self.now.day + self.cfg.lease
        })
    }

    fn on_released(&mut self, machines: &[MachineId], result: Result<CloudReply, CallError>) {
        for m in machines {
            self.fleet.releasing.remove(m);
            if result == Ok(CloudReply::Released) {
                tracing::info!(machine = %m, "returned");
                self.fleet.known.remove(m);
                self.fleet.confirmed.insert(*m);
                self.rounds.gone(*m);
            }
        }
    }
}
