//! Slopes: how resource usage depends on the size of a region, fitted to the results of several runs.

use crate::capacity::{Per, Range, Slope, SlopeSource, Slopes, format_amount};
use crate::fit::fit;
use crate::report::{ControllerResult, RunResult};
use std::collections::BTreeMap;

/// A quantity to fit: its role and resource, whether it is divided among the controllers, the inputs that it depends on, and how
/// it is read from the result of a run.
struct Quantity {
    role: &'static str,
    resource: &'static str,
    divided: bool,
    per: &'static [Per],
    value: fn(&RunResult) -> f64,
}

const REGION_INPUTS: &[Per] = &[Per::Constant, Per::Worker, Per::Running, Per::Start];
const WORKER_INPUTS: &[Per] = &[Per::Constant, Per::TaskOfWorker, Per::StartOfWorker];

fn controllers(run: &RunResult, value: fn(&ControllerResult) -> f64) -> f64 {
    run.controllers.iter().map(value).sum()
}

const QUANTITIES: &[Quantity] = &[
    Quantity {
        role: "Controller",
        resource: "processor, cores",
        divided: true,
        per: REGION_INPUTS,
        value: |r| controllers(r, |c| c.cores),
    },
    Quantity {
        role: "Controller",
        resource: "memory, MB",
        divided: false,
        per: REGION_INPUTS,
        value: |r| controllers(r, |c| c.memory_mb) / r.controllers.len().max(1) as f64,
    },
    Quantity {
        role: "Controller",
        resource: "sockets and files",
        divided: true,
        per: REGION_INPUTS,
        value: |r| controllers(r, |c| c.files as f64),
    },
    Quantity {
        role: "State service",
        resource: "requests a second",
        divided: false,
        per: REGION_INPUTS,
        value: |r| r.regions[0].state_requests,
    },
    Quantity {
        role: "State service",
        resource: "changes a second",
        divided: false,
        per: REGION_INPUTS,
        value: |r| r.regions[0].state_changes,
    },
    Quantity {
        role: "State service",
        resource: "bytes in a second",
        divided: false,
        per: REGION_INPUTS,
        value: |r| r.regions[0].state_bytes_in,
    },
    Quantity {
        role: "State service",
        resource: "bytes out a second",
        divided: false,
        per: REGION_INPUTS,
        value: |r| r.regions[0].state_bytes_out,
    },
    Quantity {
        role: "State service",
        resource: "bytes of values",
        divided: false,
        per: REGION_INPUTS,
        value: |r| r.regions[0].state_bytes_kept as f64,
    },
    Quantity {
        role: "Worker",
        resource: "bytes a second, both ways",
        divided: false,
        per: WORKER_INPUTS,
        value: |r| r.worker_bytes_per_s.mean,
    },
    Quantity {
        role: "Worker",
        resource: "requests a second, both ways",
        divided: false,
        per: WORKER_INPUTS,
        value: |r| r.worker_requests_per_s,
    },
    Quantity {
        role: "Worker",
        resource: "processor, cores (hollow)",
        divided: false,
        per: WORKER_INPUTS,
        value: |r| r.worker_cores,
    },
    Quantity {
        role: "Cloud interface",
        resource: "requests a second",
        divided: false,
        per: &[Per::Constant, Per::Worker],
        value: |r| r.regions[0].cloud_requests,
    },
    Quantity {
        role: "Users",
        resource: "requests a second",
        divided: false,
        per: &[Per::Running, Per::Start],
        value: |r| r.regions[0].user_requests,
    },
    Quantity {
        role: "Users",
        resource: "bytes a second, both ways",
        divided: false,
        per: &[Per::Running, Per::Start],
        value: |r| r.regions[0].user_bytes,
    },
];

/// Value of an input in a run.
fn input_value(per: Per, run: &RunResult) -> f64 {
    let workers = run.workers.max(1) as f64;
    match per {
        Per::Constant => 1.0,
        Per::Worker => workers,
        Per::Running => run.running,
        Per::Start => run.starts_per_s,
        Per::TaskOfWorker => run.running / workers,
        Per::StartOfWorker => run.starts_per_s / workers,
    }
}

/// Fits the slopes of a quantity. A negative slope is not plausible for a cost, so the most negative one is removed and the others
/// are fitted again.
fn fit_quantity(quantity: &Quantity, runs: &[RunResult]) -> Vec<Slope> {
    let outputs: Vec<f64> = runs.iter().map(quantity.value).collect();
    let mut per: Vec<Per> = quantity.per.to_vec();
    loop {
        let inputs: Vec<Vec<f64>> = runs
            .iter()
            .map(|r| per.iter().map(|p| input_value(*p, r)).collect())
            .collect();
        let Ok(fitted) = fit(&inputs, &outputs) else {
            return Vec::new();
        };
        let lowest =
            (0..per.len()).min_by(|a, b| fitted.factors[*a].total_cmp(&fitted.factors[*b]));
        if let Some(lowest) = lowest.filter(|i| fitted.factors[*i] < 0.0 && per.len() > 1) {
            per.remove(lowest);
            continue;
        }
        let slope = |(per, value): (&Per, &f64)| Slope {
            role: quantity.role.to_owned(),
            resource: quantity.resource.to_owned(),
            per: *per,
            value: *value,
            divided: quantity.divided,
            source: SlopeSource::Measured,
            basis: format!("fit error {}", format_amount(fitted.error)),
        };
        return per.iter().zip(&fitted.factors).map(slope).collect();
    }
}

impl Slopes {
    /// Fits slopes to the results of runs with one region at several sizes.
    pub fn from_runs(command: &str, runs: &[RunResult]) -> Slopes {
        let range = |value: fn(&RunResult) -> f64| {
            let values: Vec<f64> = runs.iter().map(value).collect();
            let smallest = values.iter().copied().fold(f64::INFINITY, f64::min);
            (
                smallest.round(),
                values.iter().copied().fold(0.0, f64::max).round(),
            )
        };
        Slopes {
            command: command.to_owned(),
            range: Some(Range {
                workers: range(|r| r.workers as f64),
                running: range(|r| r.running),
                starts: range(|r| r.starts_per_s),
                controllers: runs.first().map_or(0, |r| r.controllers.len()),
            }),
            slope: QUANTITIES
                .iter()
                .flat_map(|q| fit_quantity(q, runs))
                .collect(),
        }
    }

    /// Formats the slopes as the text of a slopes file.
    ///
    /// # Errors
    ///
    /// The error of the serializer.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string_pretty(self)
    }

    /// Descriptions of the slopes by role and resource, for printing.
    pub fn descriptions(&self) -> BTreeMap<(String, String), Vec<String>> {
        let mut descriptions: BTreeMap<(String, String), Vec<String>> = BTreeMap::new();
        for slope in &self.slope {
            descriptions
                .entry((slope.role.clone(), slope.resource.clone()))
                .or_default()
                .push(slope.describe());
        }
        descriptions
    }
}
