//! The real controllers: their deploy files and processes.

use crate::measure::{self, Usage};
use crate::region::RunContext;
use serde_json::{Value, json};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Bound on the clock difference between controllers as given in the deploy files, in milliseconds. Within one machine there is
/// none.
const CLOCK_ERROR_MS: f64 = 100.0;
/// Class of the urgent jobs.
pub const URGENT_CLASS: &str = "urgent";
/// Time within which urgent tasks have to start, as given in the deploy files, in seconds.
const URGENT_WITHIN_S: f64 = 5.7;

/// Returns the name of a team.
pub fn team_name(team: usize) -> String {
    format!("team-{team:02}")
}

/// A controller of a region, with its process.
pub struct Controller {
    /// Its region.
    pub region: usize,
    /// Its number in the region.
    pub node: usize,
    folder: PathBuf,
    binary: PathBuf,
    process: Option<Child>,
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Controller {
    /// Writes a controller's deploy file to `folder` and starts the controller. `quota_shares` are the region's shares of the teams'
    /// limits, in cores.
    ///
    /// # Errors
    ///
    /// The error of the system.
    pub fn start(
        context: &RunContext,
        (region, node): (usize, usize),
        quota_shares: &[f64],
        binary: &Path,
        folder: &Path,
    ) -> std::io::Result<Controller> {
        let deploy = deploy_file(context, region, node, quota_shares);
        let mut controller = Controller {
            region,
            node,
            folder: folder.to_owned(),
            binary: binary.to_owned(),
            process: None,
        };
        std::fs::write(controller.path("json"), deploy.to_string())?;
        controller.spawn()?;
        Ok(controller)
    }

    fn path(&self, extension: &str) -> PathBuf {
        self.folder
            .join(format!("r{}-n{}.{extension}", self.region, self.node))
    }

    /// Starts the process, also again after it was killed.
    ///
    /// # Errors
    ///
    /// The error of the system.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path("log"))?;
        let child = Command::new(&self.binary)
            .arg("--config")
            .arg(self.path("json"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL, and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            // Both calls fail only if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Resources that the process has used; `None` while it does not run.
    pub fn usage(&self) -> Option<Usage> {
        measure::process_usage(self.process.as_ref()?.id())
    }

    /// Whether the process has exited without being killed by [`Controller::kill`].
    pub fn has_exited(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|p| matches!(p.try_wait(), Ok(Some(_))))
    }
}

/// Creates a controller's deploy file.
fn deploy_file(context: &RunContext, region: usize, node: usize, quota_shares: &[f64]) -> Value {
    let scenario = &context.scenario;
    let spec = &scenario.regions[region];
    let zone = |n: usize| RunContext::zone(region, n % spec.zones);
    let others: Vec<Value> = (0..spec.controllers)
        .filter(|other| *other != node)
        .map(|other| {
            let peer = context.addresses.peer(region, other).to_string();
            json!({"node": format!("n{other}"), "zone": zone(other), "peer_addr": peer})
        })
        .collect();
    let teams: Vec<Value> = quota_shares
        .iter()
        .enumerate()
        .map(|(team, cores)| {
            json!({"name": team_name(team), "cpus": (cores / 2.0).floor(), "cpus_max": cores, "gpus": 0.0, "gpus_max": 0.0})
        })
        .collect();
    json!({
        "node": format!("n{node}"),
        "zone": zone(node),
        "bind": context.addresses.controller(region, node).to_string(),
        "back": context.addresses.peer(region, node).to_string(),
        "others": others,
        "outside": {
            "cloud": context.addresses.cloud(region).to_string(),
            "state": context.addresses.state(region).to_string(),
        },
        "params": {
            "count": spec.controllers,
            "zones": (0..spec.zones).map(zone).collect::<Vec<_>>(),
            "teams": teams,
            "objectives": [
                {"kind": "wait", "class": URGENT_CLASS, "within_s": URGENT_WITHIN_S, "share": 0.99},
            ],
            "workers": {
                "report_s": scenario.workers.report_s,
                "lease_s": scenario.workers.lease_s,
                "cancel_s": scenario.workers.cancel_s,
            },
            "state": {
                "rps": scenario.state.rps,
                "write_rps": scenario.state.write_rps,
                "value_kb": scenario.state.value_kb,
                "txn_ops": scenario.state.txn_ops,
            },
            "cloud": {"rps": scenario.cloud.rps, "list_lag_s": scenario.cloud.list_lag_s},
            "quota": {
                "core_share": scenario.controller.core_share,
                "ram_mb": scenario.controller.ram_mb,
                "max_connections": scenario.controller.max_connections,
            },
            "clock_error_ms": CLOCK_ERROR_MS,
        },
    })
}
