//! The real controllers: deploy files, processes, ends and starts by their own ids.

use crate::measure::{self, Usage};
use crate::region::World;
use serde_json::{Value, json};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// How far the time of day may be off, in milliseconds; on one machine it is not.
const CLOCK_ERROR_MS: f64 = 100.0;
/// The class whose tasks must start at once.
pub const URGENT_CLASS: &str = "urgent";
/// The aim on starts of urgent work, in seconds.
const URGENT_WITHIN_S: f64 = 5.7;

/// A team's name.
pub fn team_name(team: usize) -> String {
    format!("team-{team:02}")
}

/// A controller of a region.
pub struct Controller {
    /// Its region.
    pub region: usize,
    /// Its number there.
    pub node: usize,
    folder: PathBuf,
    binary: PathBuf,
    process: Option<Child>,
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.end();
    }
}

impl Controller {
    /// Writes a controller's deploy file into `folder` and starts it. `shares` are the region's cores of each team.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn start(
        world: &World,
        (region, node): (usize, usize),
        shares: &[f64],
        binary: &Path,
        folder: &Path,
    ) -> std::io::Result<Controller> {
        let deploy = deploy_file(world, region, node, shares);
        let mut controller = Controller {
            region,
            node,
            folder: folder.to_owned(),
            binary: binary.to_owned(),
            process: None,
        };
        std::fs::write(controller.path("json"), deploy.to_string())?;
        controller.begin()?;
        Ok(controller)
    }

    fn path(&self, extension: &str) -> PathBuf {
        self.folder
            .join(format!("r{}-n{}.{extension}", self.region, self.node))
    }

    /// Starts the process again after it was ended.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn begin(&mut self) -> std::io::Result<()> {
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

    /// Ends the process at once, and waits until it is gone.
    pub fn end(&mut self) {
        if let Some(mut child) = self.process.take() {
            // Either fails only if the process is gone already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// What it has used; `None` while it does not run.
    pub fn usage(&self) -> Option<Usage> {
        measure::process(self.process.as_ref()?.id())
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|p| matches!(p.try_wait(), Ok(Some(_))))
    }
}

/// A controller's deploy file.
fn deploy_file(world: &World, region: usize, node: usize, shares: &[f64]) -> Value {
    let scenario = &world.scenario;
    let spec = &scenario.regions[region];
    let zone = |n: usize| World::zone(region, n % spec.zones);
    let others: Vec<Value> = (0..spec.controllers)
        .filter(|other| *other != node)
        .map(|other| {
            let peer = world.addresses.peer(region, other).to_string();
            json!({"node": format!("n{other}"), "zone": zone(other), "peer_addr": peer})
        })
        .collect();
    let teams: Vec<Value> = shares
        .iter()
        .enumerate()
        .map(|(team, cores)| {
            json!({"name": team_name(team), "cpus": (cores / 2.0).floor(), "cpus_max": cores, "gpus": 0.0, "gpus_max": 0.0})
        })
        .collect();
    json!({
        "node": format!("n{node}"),
        "zone": zone(node),
        "bind": world.addresses.controller(region, node).to_string(),
        "back": world.addresses.peer(region, node).to_string(),
        "others": others,
        "outside": {
            "cloud": world.addresses.cloud(region).to_string(),
            "state": world.addresses.state(region).to_string(),
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
