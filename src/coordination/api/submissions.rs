//! Submissions and cancellations: transactions that change a job's record, and what becomes of their answers.

use super::{PendingRequest, RequestKind};
use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{CallError, Put, StateReply, StateRequest, Txn, encode};
use crate::protocol::user::{JobStatus, JobStatusResponse, UserResponse};
use crate::storage::cell_state::{CellChanges, Change, Content};
use crate::storage::job::{JobRecord, JobSpec};
use crate::storage::records::Key;
use crate::time::Micros;

impl Controller {
    /// Submissions that share a transaction at the most.
    pub(super) const MOST_SUBMITS: usize = 12;
    /// Bytes of records that submissions put into one transaction; it may have 64 KiB with its conditions.
    pub(super) const SUBMITTED_BYTES: usize = 48 * 1024;
    /// Pause after the state service refused a user's change for its rate.
    pub(super) const RATE_PAUSE: Micros = Micros::millis(120);
    /// How long a user's change is sent again that was refused for the rate.
    pub(super) const RATE_PATIENCE: Micros = Micros::millis(2_000);

    pub(super) fn new_record(&self, spec: &JobSpec, submitted: Micros) -> JobRecord {
        let mut spec = spec.clone();
        if let (Some(machine_types), Some(types)) =
            (&mut spec.machine_types, &self.cell.types.value)
        {
            // Types that the cloud does not know cannot be hired; an empty list stays one.
            machine_types.retain(|b| types.get(b).is_some());
        }
        JobRecord {
            spec,
            submitted,
            cancelled: false,
            finished: Default::default(),
            more: 0,
            full: 0,
            errors: 0,
            avoid: Vec::new(),
        }
    }

    pub(super) fn send_submits(&mut self, batch: Vec<PendingRequest>) {
        let mut txn = Txn::default();
        let mut sent = Vec::new();
        let mut bytes = 0;
        for request in batch {
            let RequestKind::Submit(spec) = &request.kind else {
                continue;
            };
            let value = encode(&self.new_record(spec, request.day).terse(self.cell.terse()));
            // Room for a full bitmap and the machines to avoid must be left.
            let size = value.as_ref().map_or(0, |v| v.get().len());
            let spare = 1_600.min(spec.task_count as usize / 4 + 200);
            if size + spare > self.limits.value_bytes() {
                self.answer(&request, UserResponse::Bad("too large".into()));
                continue;
            }
            if bytes + size > Self::SUBMITTED_BYTES && !sent.is_empty() {
                self.users.submits.push(request);
                continue;
            }
            bytes += size;
            txn.when.push((Key::Job(request.id), 0));
            txn.when.push((Key::Final(request.id), 0));
            txn.then.push(Put {
                key: Key::Job(request.id),
                value,
                lease_id: None,
            });
            sent.push(request);
        }
        if !sent.is_empty() {
            self.ask_state(Purpose::Submit(sent), StateRequest::Txn(txn));
        }
    }

    pub(in crate::coordination) fn on_submitted(
        &mut self,
        batch: Vec<PendingRequest>,
        result: Result<StateReply, CallError>,
    ) {
        match result {
            Ok(StateReply::Applied(revision)) => {
                let mut changes_seen = CellChanges::default();
                let changes: Vec<Change> = batch
                    .iter()
                    .filter_map(|request| {
                        let RequestKind::Submit(spec) = &request.kind else {
                            return None;
                        };
                        Some(Change {
                            key: Key::Job(request.id),
                            content: Some(Content::Job(Box::new(
                                self.new_record(spec, request.day),
                            ))),
                            mod_revision: revision,
                        })
                    })
                    .collect();
                self.cell.apply(changes, &mut changes_seen);
                for request in batch {
                    if let RequestKind::Submit(spec) = &request.kind {
                        // Named as in the submission: log analysis joins the two by these fields.
                        tracing::info!(job = %request.id, lane = spec.job_class, crew = spec.team, pieces = spec.task_count, cores = spec.need.cores as f64 / 1e3, "accepted");
                    }
                    // The watch may have brought its cancellation, or its end, before this answer; and of a
                    // job that awaits others it may not be known yet whether one of these is cancelled.
                    match self.cell.jobs.get(&request.id) {
                        Some(j) if !j.record.cancelled && !j.dependency_state.doubtful => {
                            let status = if j.cancelled() {
                                JobStatus::Cancelled
                            } else {
                                JobStatus::Queued
                            };
                            let answer = JobStatusResponse {
                                id: request.id,
                                status,
                                done: 0,
                                running: 0,
                                reason: None,
                            };
                            self.answer(&request, UserResponse::Accepted(answer));
                        }
                        _ => self.await_read(request),
                    }
                }
                self.on_cell_changed(&changes_seen);
            }
            Ok(_) | Err(CallError::Unknown) => {
                // Known already, or the outcome is unknown: the state decides.
                for mut request in batch {
                    request.tries += 1;
                    if request.tries > 2 {
                        self.answer(&request, Self::RETRY_AFTER);
                    } else {
                        self.await_read(request);
                    }
                }
            }
            Err(CallError::TooMany) => batch
                .into_iter()
                .for_each(|request| self.send_again(request)),
            Err(_) => {
                for request in batch {
                    self.answer(&request, Self::RETRY_AFTER);
                }
            }
        }
    }

    /// The state service refused a user's change for its rate, so it was not carried out: it is sent again soon.
    pub(super) fn send_again(&mut self, request: PendingRequest) {
        let now = self.now.steady;
        if now.since(request.since) > Self::RATE_PATIENCE {
            return self.answer(&request, Self::RETRY_AFTER);
        }
        self.users.paused_until = now + Self::RATE_PAUSE;
        match request.kind {
            RequestKind::Abort => self.users.aborts.push(request),
            _ => self.users.submits.push(request),
        }
    }

    pub(super) fn send_abort(&mut self, request: PendingRequest) {
        let Some(job) = self.cell.jobs.get(&request.id) else {
            return self.await_read(request);
        };
        let record = JobRecord {
            cancelled: true,
            ..job.record.clone().terse(self.cell.terse())
        };
        let txn = Txn {
            when: vec![(Key::Job(request.id), job.mod_revision)],
            then: vec![Put {
                key: Key::Job(request.id),
                value: encode(&record),
                lease_id: None,
            }],
        };
        self.ask_state(Purpose::Abort(request), StateRequest::Txn(txn));
    }

    pub(in crate::coordination) fn on_aborted(
        &mut self,
        mut request: PendingRequest,
        result: Result<StateReply, CallError>,
    ) {
        match result {
            Ok(StateReply::Applied(revision)) => {
                tracing::info!(job = %request.id, "cancelled by its user");
                let mut answer = JobStatusResponse {
                    id: request.id,
                    status: JobStatus::Cancelled,
                    done: 0,
                    running: 0,
                    reason: None,
                };
                if let Some(job) = self.cell.jobs.get(&request.id) {
                    let record = JobRecord {
                        cancelled: true,
                        ..job.record.clone()
                    };
                    answer.done = job.done();
                    let change = Change {
                        key: Key::Job(request.id),
                        content: Some(Content::Job(Box::new(record))),
                        mod_revision: revision,
                    };
                    let mut changes_seen = CellChanges::default();
                    self.cell.apply([change], &mut changes_seen);
                    self.on_cell_changed(&changes_seen);
                }
                self.answer(&request, UserResponse::Is(answer));
            }
            Ok(_) | Err(CallError::Unknown) => {
                request.tries += 1;
                if request.tries > 6 {
                    self.answer(&request, Self::RETRY_AFTER);
                } else {
                    self.await_read(request);
                }
            }
            Err(CallError::TooMany) => self.send_again(request),
            Err(_) => self.answer(&request, Self::RETRY_AFTER),
        }
    }
}
