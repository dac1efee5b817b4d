//! Which machines are returned, and when.

use super::CloudPurpose;
use crate::coordination::Controller;
use crate::protocol::cloud::{CloudMachineState, CloudRequest, RELEASE_LIMIT};
use crate::scheduler::provisioning::{MachineOffer, core_price};
use crate::storage::ids::{JobId, MachineId};
use crate::storage::records::MachineHealth;
use crate::time::Micros;
use std::collections::{BTreeMap, HashMap};

impl Controller {
    /// How long a machine is kept without work: as long as its next boot would take, a dear one
    /// only for a moment. Less than the shortest charge is never saved.
    fn idle_limit(&self, machine_type: &str, spot: bool) -> Micros {
        let types = self.cell.machine_types();
        let cheapest = types
            .map(|t| core_price(t, true).min(core_price(t, false)))
            .min()
            .unwrap_or(0);
        let derived = match self.cell.machine_type(machine_type) {
            Some(t) if core_price(t, spot) > cheapest * 3 / 2 => Micros::secs(5),
            t => t.map_or(Micros::secs(30), |t| {
                self.expected_boot(machine_type)
                    .clamp(Micros::secs(2), t.boot * 2)
            }),
        };
        self.operator_settings
            .idle_s
            .map_or(derived, Micros::from_secs_f64)
    }

    pub(super) fn return_machines(&mut self) {
        let now = self.now.steady;
        let mut release = Vec::new();
        let mut health_changes = Vec::new();
        let mut seen_idle = HashMap::new();
        let mut seen_lost = HashMap::new();
        let worth = self.is_surplus();
        let mut idle_of: BTreeMap<MachineOffer, Vec<(Micros, MachineId)>> = BTreeMap::new();
        for (_, m, r) in self.cell.machines() {
            let idle = r.tasks.is_empty();
            let since = *self.autoscaler.idle.get(&m).unwrap_or(&now);
            if idle {
                seen_idle.insert(m, since);
            }
            match r.health {
                MachineHealth::Decommissioning => release.push(m),
                MachineHealth::Cordoned if idle => health_changes.push((m, "drained")),
                MachineHealth::Unreachable => {
                    let lost = *self.autoscaler.lost.get(&m).unwrap_or(&now);
                    seen_lost.insert(m, lost);
                    let quiet = now.since(lost);
                    // Of a zone that is lost it is decided for all together; of one that may be, in a moment.
                    let saturated = if self.zones.is_in_doubt(&r.zone) {
                        worth.contains(&m)
                    } else {
                        r.tasks.iter().any(|b| self.saturated(b.attempt().task.job))
                    };
                    if self.unlisted(m) {
                        health_changes.push((m, "silent and not listed"));
                    } else if saturated {
                        health_changes
                            .push((m, "silent, and its tasks can still be in time elsewhere"));
                    } else if quiet
                        > self.settings.lease + if idle { Micros::secs(20) } else { Micros::ZERO }
                    {
                        health_changes.push((m, "silent for long"));
                    }
                }
                MachineHealth::Schedulable
                    if idle && now.since(since) > self.idle_limit(&r.machine_type, r.spot) =>
                {
                    health_changes.push((m, "idle"))
                }
                MachineHealth::Schedulable if idle => {
                    let offer = MachineOffer {
                        machine_type: r.machine_type.to_string(),
                        zone: r.zone.to_string(),
                        spot: r.spot,
                    };
                    idle_of.entry(offer).or_default().push((since, m));
                }
                _ => {}
            }
        }
        for offer in self.autoscaler.spare.keys() {
            idle_of.entry(offer.clone()).or_default();
        }
        for (offer, mut idle) in idle_of {
            let window = self.idle_limit(&offer.machine_type, offer.spot);
            let spare = self.autoscaler.spare.entry(offer).or_default();
            let count = spare.note(now, idle.len(), window);
            spare.take(count);
            // Those that have been idle the longest.
            idle.sort_unstable();
            health_changes.extend(idle.into_iter().take(count).map(|(_, m)| (m, "spare")));
        }
        self.autoscaler.idle = seen_idle;
        self.autoscaler.lost = seen_lost;
        for (m, why) in health_changes {
            if self.rounds.releasing(m) {
                self.counters.unneeded += u64::from(matches!(why, "idle" | "spare"));
                tracing::info!(machine = %m, why, "returning");
            }
        }
        let mut given_up = Vec::new();
        for (m, k) in &self.autoscaler.known {
            let age = now.since(k.since);
            let unused = self.cell.machine(*m).is_none() && k.status != CloudMachineState::Failed;
            let late = self.cell.machine_type(&k.machine_type).is_none_or(|t| {
                age > self.boot_patience(&k.machine_type).max(t.boot * 3) + Micros::secs(5)
            });
            let released =
                self.autoscaler.released.contains(m) || self.cell.fleet.value.releasing.contains(m);
            if unused && late && !released {
                given_up.push((*m, age));
            }
        }
        let none = given_up.is_empty();
        self.abandon_boots(given_up);
        if none {
            // An earlier owner may have given them up as well.
            let recorded = self.cell.fleet.value.releasing.iter();
            release.extend(recorded.filter(|m| !self.autoscaler.confirmed.contains(m)));
        }
        release.retain(|m| !self.autoscaler.releasing.contains(m));
        release.truncate(RELEASE_LIMIT);
        if !release.is_empty() {
            self.autoscaler.releasing.extend(&release);
            self.autoscaler.released.extend(&release);
            let request = CloudRequest::Release(release.clone());
            self.ask_cloud(CloudPurpose::Release(release), request);
        }
    }

    /// Records that machines are given up, before their release is sent: it may be carried out late, and
    /// they may come up until then. No controller uses them.
    fn abandon_boots(&mut self, machines: Vec<(MachineId, Micros)>) {
        if machines.is_empty() || self.autoscaler.writing {
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
        let old = self.settings.list_lag * 2 + Micros::secs(2);
        self.autoscaler.lists > 0
            && self.autoscaler.known.get(&m).is_none_or(|k| {
                k.listed.is_none_or(|t| t < self.autoscaler.last_list)
                    && self.now.steady.since(k.since) > old
            })
    }

    /// Whether a task of a job, if it had to wait for the lease of a silent machine, would be late, but
    /// not if it were started again at once. A release is proof at once that the machine is gone.
    pub(in crate::coordination) fn saturated(&self, job: JobId) -> bool {
        self.cell.jobs.get(&job).is_some_and(|j| {
            let latest = self.latest_start(j);
            !j.cancelled()
                && !self.rounds.is_suspect(job)
                && latest >= self.now.day
                && latest < self.now.day + self.settings.lease
        })
    }
}
