//! Rules for where jobs run: which are in force, what they say to each job, and why a job waits for them.
//!
//! The sets of rules that controllers were started with are records of the state service, by digest. All
//! of them hold, at every controller, until no controller has one any more: so a change by rolling restart
//! never leaves a moment in which the old rules hold here and the new ones there.

use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{Put, StateRequest, Txn, encode};
use crate::scheduler::constraints::{
    ClassTraits, JobConstraints, MachineContext, PlacementContext, RequiredPreferences, clash,
    has_hard, labelled, traits,
};
use crate::scheduler::placement;
use crate::scheduler::provisioning::PlacementFilter;
use crate::storage::cell_state::{CellState, Job};
use crate::storage::ids::{JobId, MachineId, TaskId};
use crate::storage::job::JobSpec;
use crate::storage::machine_classes::ClassId;
use crate::storage::records::{Assignment, FENCED, FENCED_RULED, Key, MachineRecord, is_ruled};
use crate::time::Micros;
use cometlead_constraints::RuleSet;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// What is known of rules.
#[derive(Debug, Default)]
pub struct Rules {
    /// Those that this controller was started with.
    own: Option<Arc<RuleSet>>,
    /// Those in force, the newest last.
    sets: Vec<Arc<RuleSet>>,
    /// Some are written in a way that this version does not understand: nothing may be started.
    unreadable: bool,
    /// Traits of each class under each set.
    traits: Vec<ClassTraits>,
    /// What the traits were worked out from.
    judged: (u64, u64),
    job_constraints: HashMap<JobId, JobConstraints>,
    /// Some rule asks which jobs are beside.
    colocated: bool,
    /// Sets, or the copy as a whole, are to be looked at anew.
    stale: bool,
    /// Jobs that came, changed or went.
    changed: BTreeSet<JobId>,
    /// The rules that each controller was last seen with, alive or not.
    declared: BTreeMap<String, Option<u64>>,
    writing: bool,
    next_write: Micros,
    next_reasons: Micros,
}

/// Jobs that have tasks on a machine, each once.
pub(super) fn jobs_there(tasks: &[Assignment]) -> Vec<JobId> {
    let mut jobs: Vec<JobId> = tasks.iter().map(|b| b.job).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs
}

fn machine_context<'a>(
    context: &PlacementContext<'_>,
    class: ClassId,
    r: &'a MachineRecord,
    there: &'a [JobId],
) -> MachineContext<'a> {
    let has_exclusions = there.iter().any(|j| context.excludes_newcomers(*j));
    MachineContext {
        class,
        images: &r.images,
        fetches: None,
        there,
        has_exclusions,
    }
}

impl Rules {
    /// Those that a controller is started with.
    pub fn of(own: Option<Arc<RuleSet>>) -> Rules {
        Rules {
            stale: own.is_some(),
            own,
            ..Rules::default()
        }
    }

    /// Whether any rule has a say in anything.
    pub fn active(&self) -> bool {
        self.unreadable || !self.job_constraints.is_empty() || !self.sets.is_empty()
    }

    /// The digest of those that this controller was started with.
    pub fn digest(&self) -> Option<u64> {
        self.own.as_ref().map(|s| s.digest)
    }

    /// Sets came, changed or went, or the copy was read anew.
    pub fn schedule_check(&mut self) {
        self.stale = true;
    }

    /// Why a job waits, if that is for its rules.
    pub fn reason(&self, id: JobId) -> Option<Arc<str>> {
        self.job_constraints.get(&id)?.reason.clone()
    }

    /// Whether no machine that is up may run a job now.
    pub fn is_unschedulable(&self, id: JobId) -> bool {
        self.unreadable
            || self
                .job_constraints
                .get(&id)
                .is_some_and(|a| a.unschedulable)
    }

    fn context<'a>(&'a self, cell: &'a CellState) -> PlacementContext<'a> {
        PlacementContext {
            jobs: &cell.jobs,
            job_constraints: &self.job_constraints,
            colocated: self.colocated,
        }
    }

    /// Whether a task that was booked must not be launched: its rules have changed since, or what is on its
    /// machine has.
    pub fn forbid_launch(
        &self,
        cell: &CellState,
        m: MachineId,
        r: &MachineRecord,
        id: JobId,
    ) -> bool {
        if self.unreadable {
            return true;
        }
        let constraints = self.job_constraints.get(&id);
        if constraints.is_none() && !self.colocated {
            return false;
        }
        let (Some(class), Some(job)) = (cell.classes.of(m), cell.jobs.get(&id)) else {
            return false;
        };
        let there = jobs_there(&r.tasks);
        let context = self.context(cell);
        !context.admits(
            (id, job.spec()),
            constraints,
            0,
            machine_context(&context, class, r, &there),
        )
    }

    /// Whether a task that has not begun must be stopped: its machine is not one that it may run on any more.
    pub fn forbid_start(&self, cell: &CellState, m: MachineId, id: JobId) -> bool {
        let constraints = self.job_constraints.get(&id);
        constraints.is_some_and(|a| cell.classes.of(m).is_some_and(|c| !a.may(c, 0)))
    }
}

/// Why a submission is not simply taken, for the sake of rules.
pub(super) enum Rejection {
    /// It can never run.
    Never(String),
    /// Not every controller would keep its rules yet.
    RetryAfter,
}

impl Controller {
    /// The same controller, started with rules.
    pub fn with_rules(mut self, own: Option<Arc<RuleSet>>) -> Controller {
        self.rules = Rules::of(own);
        self
    }

    /// The layout of records that this controller wants: rules need one of their own, which is only raised
    /// where they are turned on.
    pub(super) fn wanted_layout(&self) -> u32 {
        let ruled = self.rules.own.is_some() || self.keeps_rules();
        let most = if ruled { FENCED_RULED } else { FENCED };
        self.layout.min(most.max(self.cell.layout()))
    }

    /// Whether every controller keeps rules.
    fn keeps_rules(&self) -> bool {
        is_ruled(self.cell.layout())
    }

    pub(super) fn context(&self) -> PlacementContext<'_> {
        self.rules.context(&self.cell)
    }

    /// A job came, changed or went.
    pub(super) fn note_rules_of(&mut self, id: JobId) {
        let rules = &mut self.rules;
        if !rules.sets.is_empty()
            || rules.job_constraints.contains_key(&id)
            || self
                .cell
                .jobs
                .get(&id)
                .is_some_and(|j| !j.spec().rules.is_empty())
        {
            rules.changed.insert(id);
        }
    }

    /// Brings what rules say up to what the copy shows.
    pub(super) fn refresh_rules(&mut self) {
        if self.cell.types.value.is_none() {
            return;
        }
        let rules = &mut self.rules;
        if rules.stale {
            let mut sets: Vec<(u64, Arc<RuleSet>)> = self
                .cell
                .rules
                .values()
                .filter_map(|s| Some((s.mod_revision, Arc::clone(s.value.as_ref()?))))
                .collect();
            sets.sort_by_key(|(mod_revision, _)| *mod_revision);
            rules.unreadable = self.cell.rules.values().any(|s| s.value.is_none());
            rules.sets = sets.into_iter().map(|(_, s)| s).collect();
            if let Some(own) = rules
                .own
                .as_ref()
                .filter(|own| !self.cell.rules.contains_key(&own.digest))
            {
                rules.sets.push(Arc::clone(own));
            }
            let labelled = labelled(&rules.sets);
            self.cell.label(labelled);
        }
        if !rules.stale
            && rules.sets.is_empty()
            && rules.job_constraints.is_empty()
            && rules.changed.is_empty()
        {
            return;
        }
        let judged = (self.cell.types.mod_revision, self.cell.classes.generation());
        if rules.stale || judged != rules.judged {
            let Some(catalog) = &self.cell.types.value else {
                return;
            };
            rules.traits = self
                .cell
                .classes
                .all()
                .iter()
                .map(|c| traits(c, &rules.sets, catalog))
                .collect();
            rules.judged = judged;
            rules.changed.extend(
                self.cell
                    .jobs
                    .keys()
                    .copied()
                    .chain(rules.job_constraints.keys().copied()),
            );
        }
        rules.stale = false;
        if rules.changed.is_empty() {
            return;
        }
        for id in std::mem::take(&mut rules.changed) {
            let job = self.cell.jobs.get(&id);
            let constraints =
                job.and_then(|j| JobConstraints::of(j.spec(), &rules.sets, &rules.traits));
            match constraints {
                Some(mut a) => {
                    // What was last said of it stands until it is looked at again.
                    a.reason = rules
                        .job_constraints
                        .get(&id)
                        .and_then(|b| b.reason.clone());
                    rules.job_constraints.insert(id, a);
                }
                None => {
                    rules.job_constraints.remove(&id);
                }
            }
        }
        rules.colocated = rules
            .job_constraints
            .values()
            .any(JobConstraints::tests_colocation);
    }

    /// Notes which jobs no machine that is up may run now: they take no place in a plan.
    pub(super) fn refresh_unschedulable(&mut self) {
        self.refresh_rules();
        if !self.rules.active() {
            return;
        }
        let unschedulable: Vec<(JobId, bool)> = self
            .rules
            .job_constraints
            .iter()
            .map(|(id, a)| (*id, self.is_unschedulable_now(*id, a)))
            .collect();
        for (id, unschedulable) in unschedulable {
            if let Some(a) = self.rules.job_constraints.get_mut(&id) {
                a.unschedulable = unschedulable;
            }
        }
    }

    fn is_unschedulable_now(&self, id: JobId, a: &JobConstraints) -> bool {
        let Some(job) = self
            .cell
            .jobs
            .get(&id)
            .filter(|j| self.cell.pending_count(id, j) > 0)
        else {
            return false;
        };
        let classes = &self.cell.classes;
        let up = (0..classes.all().len()).filter(|c| classes.is_up(*c) && a.may(*c, 0));
        let spec = job.spec();
        match up.map(|c| a.is_open_on(c)).reduce(|a, b| a && b) {
            None => true,
            Some(false) => false,
            // It depends on what is on each.
            Some(true) => !self.up().any(|(m, r)| {
                let there = jobs_there(&r.tasks);
                let context = self.context();
                classes.of(m).is_some_and(|c| {
                    context.admits(
                        (id, spec),
                        Some(a),
                        0,
                        machine_context(&context, c, r, &there),
                    )
                })
            }),
        }
    }

    fn up(&self) -> impl Iterator<Item = (MachineId, &MachineRecord)> {
        self.cell.machines_up()
    }

    /// Classes of machines that are up or could be, and that a job's own fields and size let it use.
    fn possible_classes(&self, spec: &JobSpec) -> Vec<ClassId> {
        let classes = &self.cell.classes;
        let fits = |n: &ClassId| {
            let c = &classes.all()[*n];
            classes.possible(*n)
                && spec.allows(&c.machine_type, &c.zone, c.spot)
                && self
                    .cell
                    .machine_type(&c.machine_type)
                    .is_some_and(|t| spec.need.fits(&t.room))
        };
        (0..classes.all().len()).filter(fits).collect()
    }

    /// The preferences that a job still waits for: none past its latest start.
    pub(super) fn required_preferences(&self, id: JobId, job: &Job) -> RequiredPreferences {
        let Some(a) = self.rules.job_constraints.get(&id).filter(|a| a.waits()) else {
            return 0;
        };
        let now = self.now.day;
        if now >= self.latest_start(job) {
            return 0;
        }
        let ready = job.record.submitted.max(job.dependency_state.ready_at);
        let classes = &self.cell.classes;
        // What could not be there within the whole wait is not waited for at all.
        let in_time = |c: ClassId, wait| {
            classes.is_up(c) || self.expected_boot(&classes.all()[c].machine_type) <= wait
        };
        a.insists(
            &self.possible_classes(job.spec()),
            &|wait| now < ready + wait,
            &in_time,
        )
    }

    /// The rules that have a say in where tasks of a job are placed.
    pub(super) fn rules_for<'b>(
        &'b self,
        id: JobId,
        job: &Job,
        context: Option<&'b PlacementContext<'b>>,
    ) -> Option<placement::Rules<'b>> {
        let context = context?;
        let constraints = self.rules.job_constraints.get(&id);
        let required_preferences = self.required_preferences(id, job);
        (constraints.is_some() || context.colocated).then_some(placement::Rules {
            context,
            constraints,
            required_preferences,
        })
    }

    /// Whether rules let a job on machines of a type, zone and kind.
    pub(super) fn may_provision(
        &self,
        id: JobId,
        machine_type: &str,
        zone: &str,
        spot: bool,
    ) -> bool {
        self.rules.job_constraints.get(&id).is_none_or(|a| {
            self.cell
                .classes
                .of_offer(machine_type, zone, spot)
                .is_some_and(|c| a.may(c, 0))
        })
    }

    /// Whether a machine meets the weightiest of a job's preferences, as far as its class tells; `None` if the
    /// job has none.
    pub(super) fn preference_met(&self, id: JobId, m: MachineId) -> Option<bool> {
        let a = self.rules.job_constraints.get(&id)?;
        let first = a.soft.first()?;
        Some(self.cell.classes.of(m).is_some_and(|c| first.may_meet(c)))
    }

    /// Whether rules let a job on a machine, as far as its class tells.
    pub(super) fn may_use(&self, id: JobId, m: MachineId) -> bool {
        self.rules
            .job_constraints
            .get(&id)
            .is_none_or(|a| self.cell.classes.of(m).is_some_and(|c| a.may(c, 0)))
    }

    /// What rules make of machines that are hired for a job; `Err` if none that could be hired would do, or
    /// would do yet.
    pub(super) fn places_for<'a>(
        &'a self,
        id: JobId,
        job: &'a Job,
    ) -> Result<Option<Box<dyn PlacementFilter + 'a>>, ()> {
        let Some(constraints) = self.rules.job_constraints.get(&id) else {
            return if self.rules.colocated {
                Ok(Some(Box::new(JobPlaces {
                    controller: self,
                    id,
                    spec: job.spec(),
                    constraints: None,
                    required_preferences: 0,
                })))
            } else {
                Ok(None)
            };
        };
        let spec = job.spec();
        let classes = &self.cell.classes;
        let possible = self.possible_classes(spec);
        // A preference that no machine could meet in time is not hired for; and what does not meet it is of no
        // use before the wait is over.
        let mut required_preferences = self.required_preferences(id, job);
        let left = |wait: Micros| {
            (job.record.submitted.max(job.dependency_state.ready_at) + wait).since(self.now.day)
        };
        let least = constraints
            .soft
            .iter()
            .enumerate()
            .filter(|(i, _)| required_preferences >> i & 1 == 1);
        if let Some(least) = least.map(|(_, s)| left(s.wait)).min() {
            let in_time = |c: &ClassId| {
                constraints.may_fresh(*c, required_preferences)
                    && self.expected_boot(&classes.all()[*c].machine_type) <= least
            };
            if !possible.iter().any(in_time) {
                let boots = possible.iter().filter(|c| constraints.may_fresh(**c, 0));
                if boots
                    .map(|c| self.expected_boot(&classes.all()[*c].machine_type))
                    .min()
                    < Some(least)
                {
                    return Err(());
                }
                required_preferences = 0;
            }
        }
        if !possible
            .iter()
            .any(|c| constraints.may_fresh(*c, required_preferences))
        {
            return Err(());
        }
        Ok(Some(Box::new(JobPlaces {
            controller: self,
            id,
            spec,
            constraints: Some(constraints),
            required_preferences,
        })))
    }

    /// Whether rules keep a submission from being taken. What they say is only known once the machine types are.
    pub(super) fn rejection(&self, spec: &JobSpec) -> Option<Rejection> {
        let sets = &self.rules.sets;
        if !self.keeps_rules() && (!spec.rules.is_empty() || has_hard(spec, sets)) {
            if self.rules.own.is_none() {
                return (!spec.rules.is_empty()).then(|| {
                    Rejection::Never(
                        "rules: none are taken here, operators have not turned them on".to_owned(),
                    )
                });
            }
            return Some(Rejection::RetryAfter);
        }
        // A trait that one of two versions of the rules does not know may come to be known.
        for rule in &spec.rules {
            let checked: Vec<_> = sets.iter().map(|s| rule.check(&s.vocabulary)).collect();
            if let Some(Err(e)) = checked.first()
                && checked.iter().all(Result::is_err)
            {
                return Some(Rejection::Never(format!("rules: {e}")));
            }
        }
        let catalog = self.cell.types.value.as_ref()?;
        let constraints = JobConstraints::of(spec, sets, &self.rules.traits)?;
        let clash = clash(spec, &constraints, sets, &self.cell.classes, catalog)?;
        Some(Rejection::Never(format!(
            "rules: no machine that could be had meets all of: {}",
            clash.join(", ")
        )))
    }

    /// Looks why jobs wait, and says so when that changes.
    pub(super) fn tick_rules(&mut self) {
        let now = self.now.steady;
        if now < self.rules.next_reasons || !self.replica.ready() {
            return;
        }
        self.rules.next_reasons = now + Micros::secs(1);
        self.refresh_unschedulable();
        if !self.rules.active() {
            return;
        }
        let reasons: Vec<(JobId, Option<String>)> = self
            .rules
            .job_constraints
            .iter()
            .map(|(id, a)| (*id, self.why_it_waits(*id, a)))
            .collect();
        for (id, reason) in reasons {
            let Some(a) = self.rules.job_constraints.get_mut(&id) else {
                continue;
            };
            if a.reason.as_deref() == reason.as_deref() {
                continue;
            }
            match &reason {
                Some(why) => tracing::info!(job = %id, why, "waits for its rules"),
                None => tracing::info!(job = %id, "waits for its rules no longer"),
            }
            a.reason = reason.map(Into::into);
        }
        // What a preference was waited for may be over.
        if self
            .rules
            .job_constraints
            .values()
            .any(JobConstraints::waits)
        {
            self.rounds.request();
            self.autoscaler.schedule_check();
        }
    }

    fn why_it_waits(&self, id: JobId, a: &JobConstraints) -> Option<String> {
        let job = self.cell.jobs.get(&id)?;
        if !job.ready() || self.cell.pending_count(id, job) == 0 {
            return None;
        }
        let spec = job.spec();
        let catalog = self.cell.types.value.as_ref()?;
        if let Some(clash) = clash(spec, a, &self.rules.sets, &self.cell.classes, catalog) {
            return Some(format!(
                "no machine that could be had meets all of: {}",
                clash.join(", ")
            ));
        }
        let classes = &self.cell.classes;
        let context = self.context();
        if a.unschedulable {
            let sites: Vec<(ClassId, &MachineRecord, Vec<JobId>)> = self
                .up()
                .filter(|(_, r)| spec.allows(&r.machine_type, &r.zone, r.spot))
                .filter_map(|(m, r)| Some((classes.of(m)?, r, jobs_there(&r.tasks))))
                .collect();
            let sites = sites
                .iter()
                .map(|(c, r, there)| machine_context(&context, *c, r, there));
            return match context.blocking_rules((id, spec), a, sites) {
                Some(clash) if !clash.is_empty() => {
                    Some(format!("no machine that is up meets: {}", clash.join(", ")))
                }
                Some(_) => Some("no machine that is up fits".to_owned()),
                None => {
                    Some("rules of the jobs on the machines that are up keep it away".to_owned())
                }
            };
        }
        let required_preferences = self.required_preferences(id, job);
        let here = |c: ClassId| classes.is_up(c) && a.may(c, required_preferences);
        (required_preferences > 0 && !(0..classes.all().len()).any(here)).then(|| {
            let names: Vec<&str> = a
                .soft
                .iter()
                .enumerate()
                .filter(|(i, _)| required_preferences >> i & 1 == 1)
                .map(|(_, s)| s.name.as_str())
                .collect();
            format!(
                "for a while, a machine is waited for that meets: {}",
                names.join(", ")
            )
        })
    }

    /// Notes which rules the live controllers were started with.
    pub(super) fn note_declared(&mut self) {
        for (name, node) in &self.cell.nodes {
            self.rules.declared.insert(name.clone(), node.value.rules);
        }
    }

    /// Keeps the records of rules: this controller's own is there, and one that no controller has any more goes.
    pub(super) fn drive_rules(&mut self) {
        let now = self.now.steady;
        if !self.replica.ready()
            || !self.keeps_rules()
            || self.rules.writing
            || now < self.rules.next_write
        {
            return;
        }
        let missing = self
            .rules
            .own
            .as_ref()
            .filter(|own| !self.cell.rules.contains_key(&own.digest));
        let txn = if let Some(own) = missing {
            tracing::info!(
                rules = format!("{:016x}", own.digest),
                "rules are to hold at every controller"
            );
            let key = Key::Rules(own.digest);
            Txn {
                when: vec![(key.clone(), 0)],
                then: vec![Put {
                    key,
                    value: encode(&**own),
                    lease_id: None,
                }],
            }
        } else {
            let Some(txn) = self.withdrawn_rules() else {
                return;
            };
            txn
        };
        self.rules.writing = true;
        self.rules.next_write = now + Micros::millis(500);
        self.budget.force(now, 1);
        self.ask_state(Purpose::Rules, StateRequest::Txn(txn));
    }

    /// The removal of a set that no controller of the deploy file was last seen with.
    fn withdrawn_rules(&self) -> Option<Txn> {
        if !self.leads(0) {
            return None;
        }
        let all = || {
            self.settings
                .others
                .iter()
                .map(|o| &o.node)
                .chain([&self.settings.node])
        };
        let unused = |d: &u64| {
            all().all(|n| {
                self.rules
                    .declared
                    .get(n)
                    .is_some_and(|has| has.as_ref() != Some(d))
            })
        };
        let (digest, set) = self.cell.rules.iter().find(|(d, _)| unused(d))?;
        tracing::info!(
            rules = format!("{digest:016x}"),
            "rules that no controller has any more hold no longer"
        );
        // A controller that comes back with them in this moment would be missed: then this fails.
        let nodes = self
            .cell
            .nodes
            .iter()
            .map(|(n, s)| (Key::Node(n.clone()), s.mod_revision));
        let key = Key::Rules(*digest);
        let when = [(key.clone(), set.mod_revision)]
            .into_iter()
            .chain(nodes)
            .take(self.limits.txn_ops() * 4)
            .collect();
        Some(Txn {
            when,
            then: vec![Put {
                key,
                value: None,
                lease_id: None,
            }],
        })
    }

    /// Sets of rules came or went, or prices changed: what waits to be launched is looked at again.
    pub(super) fn on_rules_changed(&mut self) {
        self.rules.schedule_check();
        self.refresh_rules();
        self.rounds.request();
        self.autoscaler.schedule_check();
    }

    pub(super) fn on_rules_written(&mut self) {
        self.rules.writing = false;
        self.replica.want_barrier();
    }
}

/// What rules make of machines, for one job.
struct JobPlaces<'a> {
    controller: &'a Controller,
    id: JobId,
    spec: &'a JobSpec,
    constraints: Option<&'a JobConstraints>,
    required_preferences: RequiredPreferences,
}

impl PlacementFilter for JobPlaces<'_> {
    fn class(&self, class: ClassId) -> bool {
        self.constraints
            .is_none_or(|a| a.may(class, self.required_preferences))
    }

    fn machine(&self, class: ClassId, machine: Option<MachineId>) -> bool {
        let Some(m) = machine else {
            return self
                .constraints
                .is_none_or(|a| a.may_fresh(class, self.required_preferences));
        };
        let Some(r) = self.controller.cell.machine(m) else {
            return false;
        };
        let there = jobs_there(&r.tasks);
        let context = self.controller.context();
        context.admits(
            (self.id, self.spec),
            self.constraints,
            self.required_preferences,
            machine_context(&context, class, r, &there),
        )
    }

    fn offer(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u32> {
        let Some(a) = self.constraints else {
            return Some(0);
        };
        let class = self
            .controller
            .cell
            .classes
            .of_offer(machine_type, zone, spot)?;
        a.may_fresh(class, self.required_preferences)
            .then(|| a.score_when_empty(class))
    }
}

/// A task's job, for logs of launches that rules forbid.
pub(super) fn log_forbidden(task: TaskId, machine: MachineId) {
    tracing::info!(%task, %machine, "its rules forbid the launch");
}
