//! What rules say to machines, for each job that some rule concerns.
//!
//! Rules are reduced once for each class of equal machines; what is left then asks about the present, and
//! is judged machine by machine: images held, and tasks of other jobs beside. The latter holds in both
//! directions. Nothing here is kept anywhere: it all follows from the rules and the records.

use crate::storage::catalog::Catalog;
use crate::storage::ids::{JobId, MachineId};
use crate::storage::job::JobSpec;
use crate::storage::live_job::Job;
use crate::storage::machine_classes::{Class, ClassId, Classes};
use crate::time::Micros;
use cometlead_constraints::clash::{RuleMask, smallest};
use cometlead_constraints::expr::{Field, Words};
use cometlead_constraints::judge::Empty;
use cometlead_constraints::{
    Dimension, Expr, Judged, Kind, Now, Quantity, Rule, RuleSet, Subject, Traits, Value,
};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Traits of a class, under each set of rules in force; none if its type is not in the catalogue.
pub type ClassTraits = Option<Vec<Traits>>;

/// The traits that a machine has by its type, zone and kind.
fn built_in(catalog: &Catalog, machine_type: &str, zone: &str, spot: bool) -> Option<Traits> {
    let t = catalog.get(machine_type)?;
    let number = |n: u64, d: Dimension| Value::Number(Quantity::thousandths(n, d));
    let traits = [
        ("type", Value::Word(machine_type.to_owned())),
        ("zone", Value::Word(zone.to_owned())),
        ("spot", Value::Flag(spot)),
        ("cores", number(t.room.cores, Dimension::Plain)),
        (
            "accelerators",
            number(t.room.accelerators, Dimension::Plain),
        ),
        ("memory", number(t.room.memory, Dimension::Size)),
        ("cache", number(t.cache, Dimension::Size)),
        ("fetch", number(t.fetch, Dimension::Rate)),
        ("price", number(t.price_of(spot), Dimension::Plain)),
        ("boot", number(t.boot.0 / 1_000, Dimension::Time)),
    ];
    Some(traits.map(|(name, value)| (name.to_owned(), value)).into())
}

/// Traits of machines of a class, under each set of rules in force, or under none.
pub fn traits(class: &Class, sets: &[Arc<RuleSet>], catalog: &Catalog) -> ClassTraits {
    let plain = built_in(catalog, &class.machine_type, &class.zone, class.spot)?;
    let machine = class.machine.map(|m| m.to_string());
    let under = |set: &Arc<RuleSet>| {
        let mut traits = plain.clone();
        set.label(
            &mut traits,
            &class.machine_type,
            &class.zone,
            machine.as_deref(),
        );
        traits
    };
    Some(if sets.is_empty() {
        vec![plain]
    } else {
        sets.iter().map(under).collect()
    })
}

/// Machines that any set names in its labels.
pub fn labelled(sets: &[Arc<RuleSet>]) -> BTreeSet<MachineId> {
    sets.iter()
        .flat_map(|s| s.file.labels.machines.keys())
        .filter_map(|m| m.parse().ok())
        .collect()
}

/// A job, as rules tell jobs apart.
pub fn subject(spec: &JobSpec) -> Subject<'_> {
    Subject {
        job_class: &spec.job_class,
        team: &spec.team,
        image: &spec.image,
        priority: spec.priority.name(),
    }
}

fn both(a: Judged, b: Judged) -> Judged {
    match (a, b) {
        (Judged::No, _) | (_, Judged::No) => Judged::No,
        (Judged::Yes, other) | (other, Judged::Yes) => other,
        (Judged::Open(a), Judged::Open(b)) if a == b => Judged::Open(a),
        (Judged::Open(a), Judged::Open(b)) => Judged::Open(Expr::And(vec![a, b])),
    }
}

/// A hard rule.
#[derive(Clone, Debug)]
struct Requirement {
    name: String,
    /// What it asks about jobs beside, if it does.
    colocated: Vec<(Field, Words)>,
    /// By class.
    judged: Vec<Judged>,
}

/// A preference.
#[derive(Clone, Debug)]
pub struct Preference {
    /// Its name.
    pub name: String,
    /// How much it counts.
    pub weight: u32,
    /// How long it is worth waiting for.
    pub wait: Micros,
    judged: Vec<Judged>,
}

impl Preference {
    /// Whether machines of the class may meet it.
    pub fn may_meet(&self, class: ClassId) -> bool {
        self.judged.get(class).is_some_and(|j| *j != Judged::No)
    }
}

/// Preferences, as bits by their place in [`JobConstraints::soft`].
pub type RequiredPreferences = u64;

/// What the rules that concern a job say to each class of machines.
#[derive(Clone, Debug, Default)]
pub struct JobConstraints {
    hard: Vec<Requirement>,
    /// All hard rules together, by class.
    together: Vec<Judged>,
    /// Preferences, the weightiest first, then by name: the same order on every controller.
    pub soft: Vec<Preference>,
    /// No machine that is up may run it now.
    pub unschedulable: bool,
    /// Why it waits, if that is for its rules.
    pub reason: Option<Arc<str>>,
}

/// Rules that concern a job, each with the sets under which it holds.
fn concerning<'a>(
    spec: &'a JobSpec,
    sets: &'a [Arc<RuleSet>],
) -> Vec<(&'a Rule, std::ops::Range<usize>)> {
    let job = subject(spec);
    let own = spec.rules.iter().map(|r| (r, 0..sets.len().max(1)));
    let of_sets = sets
        .iter()
        .enumerate()
        .flat_map(|(i, set)| set.rules.iter().map(move |r| (r, i..i + 1)));
    own.chain(of_sets.filter(|(r, _)| r.concerns(&job)))
        .collect()
}

/// Whether any hard rule concerns a job.
pub fn has_hard(spec: &JobSpec, sets: &[Arc<RuleSet>]) -> bool {
    concerning(spec, sets).iter().any(|(r, _)| r.is_hard())
}

impl JobConstraints {
    /// What rules say for a job; `None` if none concerns it. Of several sets in force, the last one's
    /// preferences count; hard rules hold of all. `classes`: the traits of every class.
    pub fn of(
        spec: &JobSpec,
        sets: &[Arc<RuleSet>],
        classes: &[ClassTraits],
    ) -> Option<JobConstraints> {
        let rules = concerning(spec, sets);
        if rules.is_empty() {
            return None;
        }
        let last = sets.len().max(1) - 1;
        let mut all = JobConstraints {
            together: vec![Judged::Yes; classes.len()],
            ..JobConstraints::default()
        };
        for (rule, under) in rules {
            let under = if rule.is_hard() {
                under
            } else {
                under.start.max(last)..under.end
            };
            if under.is_empty() {
                continue;
            }
            let judge = |traits: &ClassTraits| match traits {
                None => Judged::No,
                Some(t) => t[under.clone()]
                    .iter()
                    .map(|t| rule.expr.reduce(t))
                    .fold(Judged::Yes, both),
            };
            let judged: Vec<Judged> = classes.iter().map(judge).collect();
            match rule.kind {
                Kind::Require => {
                    for (t, j) in all.together.iter_mut().zip(&judged) {
                        *t = both(std::mem::replace(t, Judged::Yes), j.clone());
                    }
                    let mut colocated = Vec::new();
                    rule.expr.tests(&mut |t| {
                        if let Expr::Colocated(field, words) = t {
                            colocated.push((*field, words.clone()));
                        }
                    });
                    all.hard.push(Requirement {
                        name: rule.name.clone(),
                        colocated,
                        judged,
                    });
                }
                Kind::Prefer { weight, wait } => {
                    all.soft.push(Preference {
                        name: rule.name.clone(),
                        weight,
                        wait: Micros(wait),
                        judged,
                    });
                }
            }
        }
        all.soft
            .sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.name.cmp(&b.name)));
        all.soft.truncate(RequiredPreferences::BITS as usize);
        Some(all)
    }

    /// Whether a machine of the class may run it, as far as the class tells. `required_preferences`: preferences that
    /// are waited for.
    pub fn may(&self, class: ClassId, required_preferences: RequiredPreferences) -> bool {
        let no = |judged: &[Judged]| judged.get(class).is_none_or(|j| *j == Judged::No);
        !no(&self.together)
            && !self
                .required_preferences(required_preferences)
                .any(|s| no(&s.judged))
    }

    /// Whether a machine of the class that has just come up may run it.
    pub fn may_fresh(&self, class: ClassId, required_preferences: RequiredPreferences) -> bool {
        self.holds(class, required_preferences, &Empty)
    }

    fn required_preferences(
        &self,
        required_preferences: RequiredPreferences,
    ) -> impl Iterator<Item = &Preference> {
        self.soft
            .iter()
            .enumerate()
            .filter(move |(i, _)| required_preferences >> i & 1 == 1)
            .map(|(_, s)| s)
    }

    fn holds(
        &self,
        class: ClassId,
        required_preferences: RequiredPreferences,
        now: &dyn Now,
    ) -> bool {
        let holds = |judged: &[Judged]| judged.get(class).is_some_and(|j| j.holds(now));
        holds(&self.together)
            && self
                .required_preferences(required_preferences)
                .all(|s| holds(&s.judged))
    }

    /// The weights of the preferences that a machine that has just come up would meet, added up.
    pub fn score_when_empty(&self, class: ClassId) -> u32 {
        self.score(class, &Empty)
    }

    fn score(&self, class: ClassId, now: &dyn Now) -> u32 {
        let met = self
            .soft
            .iter()
            .filter(|s| s.judged.get(class).is_some_and(|j| j.holds(now)));
        met.map(|s| s.weight).sum()
    }

    /// Whether a class leaves something to be judged machine by machine.
    pub fn is_open_on(&self, class: ClassId) -> bool {
        matches!(self.together.get(class), Some(Judged::Open(_)))
    }

    /// Whether a hard rule asks which jobs are beside.
    pub fn tests_colocation(&self) -> bool {
        self.hard.iter().any(|h| !h.colocated.is_empty())
    }

    /// Whether some preference is worth waiting for.
    pub fn waits(&self) -> bool {
        self.soft.iter().any(|s| s.wait > Micros::ZERO)
    }

    /// The preferences that are still waited for: from the weightiest on, each that some machine could meet
    /// together with the rules and those before it. `waits`: whether one with this wait is still worth it.
    /// `in_time`: whether a machine of a class is up, or is up within this wait if it is hired.
    pub fn insists(
        &self,
        possible: &[ClassId],
        waits: &dyn Fn(Micros) -> bool,
        in_time: &dyn Fn(ClassId, Micros) -> bool,
    ) -> RequiredPreferences {
        let mut required_preferences = 0;
        for (i, s) in self.soft.iter().enumerate() {
            let with = required_preferences | 1 << i;
            if s.wait > Micros::ZERO
                && waits(s.wait)
                && possible
                    .iter()
                    .any(|c| self.may(*c, with) && in_time(*c, s.wait))
            {
                required_preferences = with;
            }
        }
        required_preferences
    }

    /// The hard rules that a class does not meet, as bits from `first` on.
    fn failing(&self, class: ClassId, first: usize) -> RuleMask {
        let fails = |h: &Requirement| h.judged.get(class).is_none_or(|j| *j == Judged::No);
        mask(self.hard.iter().map(fails), first)
    }

    fn names(&self, clash: RuleMask, first: usize) -> Vec<&str> {
        let mut names: Vec<&str> = Vec::new();
        for (i, name) in FIELDS
            .iter()
            .copied()
            .take(first)
            .chain(self.hard.iter().map(|h| h.name.as_str()))
            .enumerate()
        {
            // Two versions of a rule that hold for a while have one name.
            if clash >> i & 1 == 1 && !names.contains(&name) {
                names.push(name);
            }
        }
        names
    }
}

fn mask(bits: impl Iterator<Item = bool>, first: usize) -> RuleMask {
    bits.take(RuleMask::BITS as usize - first)
        .enumerate()
        .fold(0, |m, (i, b)| m | RuleMask::from(b) << (i + first))
}

/// What a submission itself says of where it may run, as clashes name it.
const FIELDS: [&str; 4] = [
    "submission: builds",
    "submission: yard",
    "submission: loaners",
    "submission: size of a task",
];

/// What of a submission itself rules out a class.
fn fields_failing(spec: &JobSpec, class: &Class, catalog: &Catalog) -> RuleMask {
    let fails = [
        spec.machine_types
            .as_ref()
            .is_some_and(|b| !b.iter().any(|n| **n == *class.machine_type)),
        spec.zone.as_ref().is_some_and(|y| **y != *class.zone),
        class.spot && !spec.spot_allowed,
        catalog
            .get(&class.machine_type)
            .is_none_or(|t| !spec.need.fits(&t.room)),
    ];
    mask(fails.into_iter(), 0)
}

/// What of a submission itself rules out a class, by name.
pub fn fields_against(spec: &JobSpec, class: &Class, catalog: &Catalog) -> Vec<&'static str> {
    let fails = fields_failing(spec, class, catalog);
    FIELDS
        .into_iter()
        .enumerate()
        .filter(|(i, _)| fails >> i & 1 == 1)
        .map(|(_, name)| name)
        .collect()
}

/// The smallest set of rules that keeps a job from every machine that is up or could be, by their names;
/// `None` if some machine could run it.
pub fn clash(
    spec: &JobSpec,
    constraints: &JobConstraints,
    sets: &[Arc<RuleSet>],
    classes: &Classes,
    catalog: &Catalog,
) -> Option<Vec<String>> {
    let first = FIELDS.len();
    let mut places: Vec<RuleMask> = Vec::new();
    for (n, class) in classes
        .all()
        .iter()
        .enumerate()
        .filter(|(n, _)| classes.possible(*n))
    {
        let fails = fields_failing(spec, class, catalog) | constraints.failing(n, first);
        if fails == 0 {
            return None;
        }
        places.push(fails);
    }
    // A machine that has labels of its own may come up yet, as any type that is offered.
    let mut tables = Vec::new();
    for m in classes.unseen() {
        let name = m.to_string();
        let table: Vec<_> = sets
            .iter()
            .map(|s| s.file.labels.machines.get(&name))
            .collect();
        if tables.contains(&table) {
            continue;
        }
        tables.push(table);
        let offered = classes
            .all()
            .iter()
            .enumerate()
            .filter(|(n, c)| classes.possible(*n) && c.machine.is_none());
        for (_, class) in offered {
            let class = Class {
                machine: Some(m),
                ..class.clone()
            };
            let judged = JobConstraints::of(spec, sets, &[traits(&class, sets, catalog)]);
            let fails =
                fields_failing(spec, &class, catalog) | judged.map_or(0, |a| a.failing(0, first));
            if fails == 0 {
                return None;
            }
            places.push(fails);
        }
    }
    let clash = smallest(&places)?;
    Some(
        constraints
            .names(clash, first)
            .into_iter()
            .map(str::to_owned)
            .collect(),
    )
}

/// Everything that is judged machine by machine.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// Live jobs.
    pub jobs: &'a HashMap<JobId, Job>,
    /// Those that some rule concerns.
    pub job_constraints: &'a HashMap<JobId, JobConstraints>,
    /// Whether any rule asks what is beside.
    pub colocated: bool,
}

/// A machine, as far as rules ask what is on it now.
#[derive(Clone, Copy, Debug)]
pub struct MachineContext<'a> {
    /// Its class.
    pub class: ClassId,
    /// Images that it has or is fetching.
    pub images: &'a [(Arc<str>, u64)],
    /// One more that it is to fetch.
    pub fetches: Option<&'a str>,
    /// Jobs that have tasks there.
    pub there: &'a [JobId],
    /// Whether rules of some of them ask what is beside, see [`PlacementContext::excludes_newcomers`].
    pub has_exclusions: bool,
}

/// What a job finds on a machine.
struct Found<'a> {
    context: &'a PlacementContext<'a>,
    machine_context: MachineContext<'a>,
    job: JobId,
    image: &'a str,
    /// One more job that is to come there.
    comes: Option<(JobId, &'a JobSpec)>,
}

fn is_of(spec: &JobSpec, id: JobId, field: Field, words: &Words) -> bool {
    match field {
        Field::JobClass => words.contains(&spec.job_class),
        Field::Team => words.contains(&spec.team),
        Field::Image => words.contains(&spec.image),
        Field::Priority => words.contains(spec.priority.name()),
        Field::Job => words.contains(&id.to_string()),
    }
}

impl Found<'_> {
    fn has(&self, image: &str) -> bool {
        self.machine_context.fetches == Some(image)
            || self
                .machine_context
                .images
                .iter()
                .any(|(n, _)| **n == *image)
    }
}

impl Now for Found<'_> {
    fn holds_own(&self) -> bool {
        self.has(self.image)
    }

    fn holds(&self, images: &Words) -> bool {
        images.iter().any(|i| self.has(i))
    }

    fn beside(&self, field: Field, words: &Words) -> bool {
        let there = self
            .machine_context
            .there
            .iter()
            .filter(|j| **j != self.job);
        let known = there.filter_map(|j| Some((*j, self.context.jobs.get(j)?.spec())));
        known
            .chain(self.comes)
            .any(|(id, spec)| is_of(spec, id, field, words))
    }
}

impl PlacementContext<'_> {
    /// Whether rules of a job ask what is beside, so that others may have to stay away from where it is.
    pub fn excludes_newcomers(&self, job: JobId) -> bool {
        self.colocated
            && self
                .job_constraints
                .get(&job)
                .is_some_and(JobConstraints::tests_colocation)
    }

    /// Whether rules let a task of a job on a machine: its own, and those of the jobs that are there.
    pub fn admits(
        &self,
        (job, spec): (JobId, &JobSpec),
        constraints: Option<&JobConstraints>,
        required_preferences: RequiredPreferences,
        machine_context: MachineContext<'_>,
    ) -> bool {
        let found = Found {
            context: self,
            machine_context,
            job,
            image: &spec.image,
            comes: None,
        };
        constraints.is_none_or(|a| a.holds(machine_context.class, required_preferences, &found))
            && (!machine_context.has_exclusions
                || machine_context.there.iter().all(|other| {
                    *other == job || self.admits_newcomer(*other, (job, spec), machine_context)
                }))
    }

    /// Whether the rules of a job that has tasks on a machine let another job come there.
    fn admits_newcomer(
        &self,
        there: JobId,
        comes: (JobId, &JobSpec),
        machine_context: MachineContext<'_>,
    ) -> bool {
        let Some(constraints) = self.job_constraints.get(&there) else {
            return true;
        };
        let image = self.jobs.get(&there).map_or("", |j| &j.spec().image);
        let found = Found {
            context: self,
            machine_context,
            job: there,
            image,
            comes: Some(comes),
        };
        constraints.hard.iter().all(|h| {
            let concerned = h
                .colocated
                .iter()
                .any(|(field, words)| is_of(comes.1, comes.0, *field, words));
            !concerned
                || h.judged
                    .get(machine_context.class)
                    .is_some_and(|j| j.holds(&found))
        })
    }

    /// The weights of the preferences that a machine meets, added up.
    pub fn score(
        &self,
        (job, spec): (JobId, &JobSpec),
        constraints: Option<&JobConstraints>,
        machine_context: MachineContext<'_>,
    ) -> u32 {
        let found = Found {
            context: self,
            machine_context,
            job,
            image: &spec.image,
            comes: None,
        };
        constraints.map_or(0, |a| a.score(machine_context.class, &found))
    }

    /// The hard rules that a machine does not meet now, as bits.
    fn failing_now(
        &self,
        (job, spec): (JobId, &JobSpec),
        constraints: &JobConstraints,
        machine_context: MachineContext<'_>,
    ) -> RuleMask {
        let found = Found {
            context: self,
            machine_context,
            job,
            image: &spec.image,
            comes: None,
        };
        mask(
            constraints.hard.iter().map(|h| {
                !h.judged
                    .get(machine_context.class)
                    .is_some_and(|j| j.holds(&found))
            }),
            0,
        )
    }

    /// The smallest set of a job's hard rules that keeps it from every one of these machines, by name; `None`
    /// if some machine meets all of them. What keeps it away may also be a rule of a job that is there: such
    /// a machine is left out.
    pub fn blocking_rules<'s>(
        &self,
        job: (JobId, &JobSpec),
        constraints: &JobConstraints,
        sites: impl Iterator<Item = MachineContext<'s>>,
    ) -> Option<Vec<String>> {
        let places: Vec<RuleMask> = sites
            .map(|s| self.failing_now(job, constraints, s))
            .collect();
        let clash = smallest(&places)?;
        Some(
            constraints
                .names(clash, 0)
                .into_iter()
                .map(str::to_owned)
                .collect(),
        )
    }
}
