//! Submissions that rules reject.

use crate::coordination::Controller;
use crate::scheduler::constraints::{JobConstraints, has_hard_rule, smallest_conflict};
use crate::storage::job::JobSpec;

/// Why rules prevent a submission from being accepted.
pub(in crate::coordination) enum Rejection {
    /// The job can never run; the message for the user.
    Unsatisfiable(String),
    /// Some controller would not enforce the job's rules yet.
    RetryAfter,
}

impl Controller {
    /// Why rules reject a submission, if they do. Conflicts between rules are found once the machine types are known.
    pub(in crate::coordination) fn rejection(&self, spec: &JobSpec) -> Option<Rejection> {
        let has_own_rules = !spec.rules.is_empty();
        let needs_rules = has_own_rules || has_hard_rule(spec, self.rules.in_force.sets());
        if needs_rules && !self.enforces_rules() {
            return self.rejection_without_rules(has_own_rules);
        }
        self.invalid_rule(spec).or_else(|| self.rule_conflict(spec))
    }

    /// The rejection of a job with rules while not every controller enforces rules.
    fn rejection_without_rules(&self, has_own_rules: bool) -> Option<Rejection> {
        if self.rules.own.is_some() {
            return Some(Rejection::RetryAfter);
        }
        has_own_rules.then(|| {
            Rejection::Unsatisfiable(
                "rules: none are taken here, operators have not turned them on".to_owned(),
            )
        })
    }

    /// The rejection of a job with a rule that no set in force understands. A trait that only the newer of two sets
    /// defines is valid.
    fn invalid_rule(&self, spec: &JobSpec) -> Option<Rejection> {
        let sets = self.rules.in_force.sets();
        spec.rules.iter().find_map(|rule| {
            let checks: Vec<_> = sets.iter().map(|set| rule.check(&set.vocabulary)).collect();
            let all_fail = checks.iter().all(Result::is_err);
            let first_error = checks.into_iter().next()?.err()?;
            all_fail.then(|| Rejection::Unsatisfiable(format!("rules: {first_error}")))
        })
    }

    /// The rejection of a job whose rules exclude every machine.
    fn rule_conflict(&self, spec: &JobSpec) -> Option<Rejection> {
        let sets = self.rules.in_force.sets();
        let catalog = self.cell.types.value.as_ref()?;
        let constraints = JobConstraints::of(spec, sets, self.rules.jobs.traits())?;
        let conflicting = smallest_conflict(spec, &constraints, sets, &self.cell.classes, catalog)?;
        Some(Rejection::Unsatisfiable(format!(
            "rules: no machine that could be had meets all of: {}",
            conflicting.join(", ")
        )))
    }
}
