//! Drives the controller: hands it events, carries out its effects.

use super::client::{HttpClient, NoAnswer};
use super::clock::Clock;
use crate::coordination::api::connections::SocketPlan;
use crate::coordination::{CallId, Controller, Effect, Event};
use crate::protocol::peer::PeerHint;
use crate::protocol::settings::Settings;
use crate::protocol::state::CallError;
use crate::protocol::user::{UserRequest, UserResponse};
use crate::protocol::worker::{Heartbeat, HeartbeatResponse};
use crate::protocol::{cloud, state};
use crate::storage::ids::JobId;
use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot, watch};

struct Inner {
    controller: Controller,
    users: HashMap<CallId, oneshot::Sender<UserResponse>>,
    next_call: u64,
}

/// A running controller.
pub struct Node {
    inner: Mutex<Inner>,
    timer: Notify,
    client: HttpClient,
    clock: Clock,
    cloud: String,
    state: String,
    hints: watch::Sender<Option<PeerHint>>,
}

impl Node {
    /// Wraps a controller.
    pub fn new(controller: Controller, settings: &Settings) -> Arc<Node> {
        let sockets = SocketPlan::new(settings.connections, settings.others.len());
        Arc::new(Node {
            inner: Mutex::new(Inner {
                controller,
                users: HashMap::new(),
                next_call: 1,
            }),
            timer: Notify::new(),
            client: HttpClient::new(sockets.calls, sockets.kept_calls, settings.body_limit()),
            clock: Clock::start(),
            cloud: settings.cloud.to_string(),
            state: settings.state.to_string(),
            hints: watch::Sender::new(None),
        })
    }

    /// What this node last wanted its peers to know.
    pub fn hints(&self) -> watch::Receiver<Option<PeerHint>> {
        self.hints.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the node can take requests.
    pub fn healthy(&self) -> bool {
        self.lock().controller.healthy(self.clock.now())
    }

    /// Whether a peer has told of itself.
    pub fn knows_peer(&self, name: &str) -> bool {
        self.lock().controller.knows_peer(name)
    }

    /// Hands an event over and carries out what comes of it.
    pub fn post(self: &Arc<Self>, event: Event) {
        let effects = self.handle(event);
        self.carry_out(effects);
    }

    fn handle(&self, event: Event) -> Vec<Effect> {
        let mut inner = self.lock();
        let before = inner.controller.wake();
        let effects = inner.controller.handle(self.clock.now(), event);
        if inner.controller.wake() < before {
            self.timer.notify_one();
        }
        effects
    }

    /// Keeps the controller's time.
    pub async fn run(self: Arc<Self>) {
        loop {
            let wake = self.lock().controller.wake();
            if wake <= self.clock.now().steady {
                self.post(Event::Tick);
                // A wake-up that stays in the past must not keep everything else from running.
                tokio::task::yield_now().await;
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(wake)) => {}
                () = self.timer.notified() => {}
            }
        }
    }

    /// A user's request; the answer comes once it is decided.
    pub async fn user(self: &Arc<Self>, request: UserRequest) -> UserResponse {
        self.ask(|call| Event::User(call, request)).await
    }

    /// A malformed submission that names a job.
    pub async fn bad_submission(
        self: &Arc<Self>,
        job: JobId,
        why: Cow<'static, str>,
    ) -> UserResponse {
        self.ask(|call| Event::BadSubmission(call, job, why)).await
    }

    async fn ask(self: &Arc<Self>, event: impl FnOnce(CallId) -> Event) -> UserResponse {
        let (sender, receiver) = oneshot::channel();
        let call = {
            let mut inner = self.lock();
            let call = CallId(inner.next_call);
            inner.next_call += 1;
            inner.users.insert(call, sender);
            call
        };
        self.post(event(call));
        receiver.await.unwrap_or(UserResponse::RetryAfter(1))
    }

    /// A worker's report; it is answered at once.
    pub fn heartbeat(self: &Arc<Self>, heartbeat: Heartbeat) -> HeartbeatResponse {
        let mut effects = self.handle(Event::Heartbeat(CallId(0), heartbeat));
        let at = effects
            .iter()
            .position(|e| matches!(e, Effect::Heartbeat(..)));
        let answer = at.map(|i| effects.remove(i));
        self.carry_out(effects);
        match answer {
            Some(Effect::Heartbeat(_, answer)) => answer,
            _ => HeartbeatResponse::Unavailable,
        }
    }

    fn carry_out(self: &Arc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::State(call, request, limit) => {
                    let node = Arc::clone(self);
                    tokio::spawn(async move {
                        let (method, path, body) = state::http(&request);
                        let answer = node
                            .client
                            .call(&node.state, method, &path, body, limit)
                            .await;
                        let result = match answer {
                            Ok((status, body)) => state::parse(&request, status, &body),
                            Err(NoAnswer::TooLarge) => Err(CallError::TooLarge),
                            Err(NoAnswer::None) => Err(CallError::Unknown),
                        };
                        node.post(Event::State(call, result));
                    });
                }
                Effect::Cloud(call, request, limit) => {
                    let node = Arc::clone(self);
                    tokio::spawn(async move {
                        let (method, path, body) = cloud::http(&request);
                        let answer = node
                            .client
                            .call(&node.cloud, method, &path, body, limit)
                            .await;
                        let result = match answer {
                            Ok((status, body)) => cloud::parse(&request, status, &body),
                            Err(_) => Err(CallError::Unknown),
                        };
                        node.post(Event::Cloud(call, result));
                    });
                }
                Effect::PushCommand {
                    call,
                    endpoint,
                    body,
                    limit,
                } => {
                    let node = Arc::clone(self);
                    tokio::spawn(async move {
                        let answer = node
                            .client
                            .command(&endpoint, "/commands", body, limit)
                            .await;
                        // Any other status comes from a worker that has not carried it out either,
                        // but without a report nothing is known of it.
                        let result = answer
                            .ok()
                            .filter(|(status, _)| matches!(status, 200 | 409))
                            .and_then(|(status, body)| {
                                Some((status == 200, Heartbeat::parse(&body)?))
                            });
                        node.post(Event::PushCommand(call, result));
                    });
                }
                Effect::User(call, answer) => {
                    if let Some(sender) = self.lock().users.remove(&call) {
                        // The user may have gone.
                        let _ = sender.send(answer);
                    }
                }
                Effect::Heartbeat(..) => {}
                Effect::Peers(hint) => {
                    self.hints.send_replace(Some(hint));
                }
            }
        }
    }
}
