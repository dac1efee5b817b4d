//! The steps of a script: requests of users, and faults.

use super::deploy_file::zone_of;
use super::script::{CopiesTo, Party, Step};
use super::{Fault, SimEvent, World};

impl World {
    /// Carries out a step of the script.
    pub(super) fn step(&mut self, i: usize) {
        let now = self.now;
        match self.script.steps[i].1.clone() {
            Step::Submit { job, fields, node } => self.submit(job, &fields, node),
            Step::Cancel { job, node } => {
                self.checker.record_abort_request(job);
                self.send_with_retries(job, "abort", Vec::new(), node);
            }
            Step::Query { job, node } => self.send_with_retries(job, "query", Vec::new(), node),
            Step::Crash {
                node: Some(n),
                down,
            } => self.crash(n, down),
            Step::Crash { node: None, down } => {
                (0..self.script.nodes).for_each(|n| self.crash(n, down));
            }
            Step::FailZone { zone, down } => {
                self.cloud
                    .zones_without_power
                    .push((zone.clone(), now + down));
                let in_zone = |m: &&u64| self.is_in(&Party::Machine(**m), &zone);
                let machines: Vec<u64> = self.workers.keys().filter(in_zone).copied().collect();
                machines
                    .into_iter()
                    .for_each(|m| self.schedule(now, SimEvent::MachineTerminated(m)));
                for n in 0..self.script.nodes {
                    if zone_of(&self.script, n) == zone {
                        self.crash(n, down);
                    }
                }
            }
            Step::LinkFault { a, b, mode, span } => {
                if let Party::Zone(z) = &a {
                    self.cloud.partitioned_zones.push((z.clone(), now + span));
                }
                self.faults.push(Fault {
                    a,
                    b,
                    mode,
                    from: now,
                    until: now + span,
                });
            }
            Step::Outage {
                party: Party::State,
                span,
            } => self.state.outage(now, span),
            Step::Outage {
                party: Party::Cloud,
                span,
            } => self.cloud.out_until = now + span,
            Step::Outage { party, .. } => panic!("{party:?} cannot have an outage"),
            Step::Refuse { node, span } => self.refused_nodes.push((node, now + span)),
            Step::Throttle { node, span } => self.throttled_nodes.push((node, now + span)),
            Step::LateWrites {
                share,
                span,
                at_once: true,
                of,
            } => self.lost_responses.push((share, now + span, of)),
            Step::LateWrites { share, span, .. } => self.late_writes.push((share, now + span)),
            Step::DuplicateHeartbeats {
                share,
                span,
                to: CopiesTo::Same,
            } => self.late_reports.push((share, now + span)),
            Step::LateCopies { copies, span } => self.late_copies.push((copies, now + span)),
            Step::DuplicateHeartbeats { share, span, to } => {
                self.heartbeat_copy_windows
                    .push((share, now + span, to == CopiesTo::All));
            }
            Step::DropHeartbeats {
                machine,
                count,
                span,
            } => {
                self.heartbeats_dropped_until
                    .extend((machine..machine + count).map(|m| (m, now + span)));
            }
            Step::CancelNow { count, hang } => self.cancel_running_jobs(count, hang),
            Step::CancelAtEnd { share, span } => self.cancel_at_end.push((share, now + span)),
            Step::QueryBursts { aborts, span } => self.query_bursts.push((aborts, now + span)),
            Step::OddRequests { span } => self.schedule(now, SimEvent::UnusualRequest(now + span)),
            Step::DropInbound {
                machine,
                count,
                span,
            } => {
                self.inbound_dropped_until
                    .extend((machine..machine + count).map(|m| (m, now + span)));
            }
            Step::Hang { party, span } => match party {
                Party::Machine(m) => self.hang_machine(m, span),
                Party::Node(n) => {
                    if let Some(node) = self.nodes[n].as_mut() {
                        node.stalled_until = now + span;
                        self.schedule(now + span, SimEvent::Wake(n));
                    }
                }
                other => panic!("{other:?} cannot hang"),
            },
            Step::ReclaimMachines {
                machine,
                count,
                notice,
            } => {
                for machine in machine..machine + count {
                    if let Some(w) = self.workers.get_mut(&machine).filter(|_| notice > 0) {
                        w.preempted_at = Some(now + notice);
                        w.changed_since_report = true;
                        let next = w.next_deadline();
                        self.schedule(next, SimEvent::WorkerDeadline(machine));
                    }
                    self.schedule(now + notice, SimEvent::MachineTerminated(machine));
                }
            }
            Step::ScaleBootTimes { factor, span } => {
                self.cloud.boot_slowdown = (factor, now + span);
            }
            Step::Polls {
                job,
                count,
                rate,
                span,
            } => {
                let every = (1e6 / rate) as u64;
                self.schedule(
                    now,
                    SimEvent::Poll {
                        job,
                        count,
                        every,
                        until: now + span,
                    },
                );
            }
            Step::ChangeTeam { name, cores, limit } => {
                self.script.teams.retain(|t| t.0 != name);
                self.script.teams.push((name, cores, limit));
                self.renew_settings();
                self.nodes_with_old_settings = (0..self.script.nodes).collect();
            }
            Step::AnnounceNextLimits => {
                self.script.limits_announced = true;
                self.renew_settings();
            }
            Step::ApplyNextLimits => {
                let (rate, size, ops) = self.script.next_limits.expect("next limits");
                self.state.lower_limits(rate, (size * 1024.0) as usize, ops);
            }
            Step::ChangeRules { node, name, down } => {
                self.node_rules[node] = name;
                self.crash(node, down);
            }
            Step::ChangeVersion { node, down, new } => {
                if new {
                    self.nodes_on_previous_version.remove(&node);
                } else {
                    self.nodes_on_previous_version.insert(node);
                }
                self.crash(node, down);
            }
            Step::FailAllTasks { machine } => {
                if let Some(w) = self.workers.get_mut(&machine) {
                    w.all_tasks_fail = true;
                }
            }
        }
    }
}
