//! Drives the controller: passes events to it and executes its effects.

use super::client::{HttpClient, HttpError};
use super::clock::Clock;
use crate::coordination::api::connections::SocketPlan;
use crate::coordination::{CallId, Controller, Effect, Event};
use crate::protocol::cloud::{self, CloudRequest};
use crate::protocol::peer::PeerHint;
use crate::protocol::settings::Settings;
use crate::protocol::state::{self, CallError, StateRequest};
use crate::protocol::user::{UserRequest, UserResponse};
use crate::protocol::worker::{Heartbeat, HeartbeatResponse};
use crate::storage::ids::JobId;
use crate::time::Micros;
use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot, watch};

/// The call id of every heartbeat. The response is taken from the effects at once, so ids need not distinguish calls.
const HEARTBEAT_CALL: CallId = CallId(0);
/// Path at which agents accept pushed commands.
const COMMANDS_PATH: &str = "/commands";

struct Inner {
    controller: Controller,
    /// Users' requests that wait for a response.
    pending_users: HashMap<CallId, oneshot::Sender<UserResponse>>,
    next_call: u64,
}

impl Inner {
    /// Registers a user's request, and returns its call id and where its response arrives.
    fn register_user(&mut self) -> (CallId, oneshot::Receiver<UserResponse>) {
        let (sender, receiver) = oneshot::channel();
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.pending_users.insert(call, sender);
        (call, receiver)
    }
}

/// A running controller.
pub struct Node {
    inner: Mutex<Inner>,
    /// Notified when the controller's next wake-up time becomes earlier.
    wake_changed: Notify,
    client: HttpClient,
    clock: Clock,
    /// Address of the cloud's API.
    cloud_address: String,
    /// Address of the state store.
    state_store_address: String,
    hints: watch::Sender<Option<PeerHint>>,
}

impl Node {
    /// Creates the node of a controller; [`Node::run`] drives its timers.
    pub fn new(controller: Controller, settings: &Settings) -> Arc<Node> {
        let sockets = SocketPlan::new(settings.max_connections, settings.peers.len());
        Arc::new(Node {
            inner: Mutex::new(Inner {
                controller,
                pending_users: HashMap::new(),
                next_call: 1,
            }),
            wake_changed: Notify::new(),
            client: HttpClient::new(
                sockets.calls,
                sockets.idle_agent_connections,
                settings.body_limit(),
            ),
            clock: Clock::start(),
            cloud_address: settings.cloud_address.to_string(),
            state_store_address: settings.state_store_address.to_string(),
            hints: watch::Sender::new(None),
        })
    }

    /// The latest hint for the controller's peers.
    pub fn hints(&self) -> watch::Receiver<Option<PeerHint>> {
        self.hints.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the controller can serve requests.
    pub fn healthy(&self) -> bool {
        self.lock().controller.healthy(self.clock.now())
    }

    /// Whether a hint from the peer of this name has arrived.
    pub fn knows_peer(&self, name: &str) -> bool {
        self.lock().controller.knows_peer(name)
    }

    /// Passes an event to the controller and executes the effects.
    pub fn post(self: &Arc<Self>, event: Event) {
        let effects = self.handle(event);
        self.execute(effects);
    }

    fn handle(&self, event: Event) -> Vec<Effect> {
        let mut inner = self.lock();
        let wake_before = inner.controller.wake();
        let effects = inner.controller.handle(self.clock.now(), event);
        if inner.controller.wake() < wake_before {
            self.wake_changed.notify_one();
        }
        effects
    }

    /// Wakes the controller whenever it is due; never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            let wake = self.lock().controller.wake();
            if wake <= self.clock.now().monotonic {
                self.post(Event::Tick);
                // If the wake-up time stays in the past, this loop must not keep other tasks from running.
                tokio::task::yield_now().await;
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(wake)) => {}
                () = self.wake_changed.notified() => {}
            }
        }
    }

    /// Serves a user's request; completes when the controller has decided on it.
    pub async fn user(self: &Arc<Self>, request: UserRequest) -> UserResponse {
        self.request(|call| Event::User(call, request)).await
    }

    /// Serves a submission that is invalid but names a job.
    pub async fn invalid_submission(
        self: &Arc<Self>,
        job: JobId,
        why: Cow<'static, str>,
    ) -> UserResponse {
        self.request(|call| Event::InvalidSubmission(call, job, why))
            .await
    }

    async fn request(self: &Arc<Self>, event: impl FnOnce(CallId) -> Event) -> UserResponse {
        let (call, receiver) = self.lock().register_user();
        self.post(event(call));
        receiver.await.unwrap_or(UserResponse::RetryAfter(1))
    }

    /// Serves an agent's heartbeat. The controller responds to it at once.
    pub fn heartbeat(self: &Arc<Self>, heartbeat: Heartbeat) -> HeartbeatResponse {
        let mut effects = self.handle(Event::Heartbeat(HEARTBEAT_CALL, heartbeat));
        let response = effects
            .iter()
            .position(|effect| matches!(effect, Effect::Heartbeat(..)))
            .map(|index| effects.remove(index));
        self.execute(effects);
        match response {
            Some(Effect::Heartbeat(_, response)) => response,
            _ => HeartbeatResponse::Unavailable,
        }
    }

    fn execute(self: &Arc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::State(call, request, timeout) => {
                    tokio::spawn(Arc::clone(self).call_state(call, request, timeout));
                }
                Effect::Cloud(call, request, timeout) => {
                    tokio::spawn(Arc::clone(self).call_cloud(call, request, timeout));
                }
                Effect::PushCommand {
                    call,
                    endpoint,
                    body,
                    timeout,
                } => {
                    tokio::spawn(Arc::clone(self).push_command(call, endpoint, body, timeout));
                }
                Effect::User(call, response) => self.respond_to_user(call, response),
                // Taken from the effects by `heartbeat`.
                Effect::Heartbeat(..) => {}
                Effect::Peers(hint) => {
                    self.hints.send_replace(Some(hint));
                }
            }
        }
    }

    async fn call_state(self: Arc<Self>, call: CallId, request: StateRequest, timeout: Micros) {
        let (method, path, body) = state::http(&request);
        let response = self
            .client
            .call(&self.state_store_address, method, &path, body, timeout)
            .await;
        let result = match response {
            Ok((status, body)) => state::parse(&request, status, &body),
            Err(HttpError::ResponseTooLarge) => Err(CallError::ResponseTooLarge),
            Err(HttpError::NoResponse) => Err(CallError::OutcomeUnknown),
        };
        self.post(Event::State(call, result));
    }

    async fn call_cloud(self: Arc<Self>, call: CallId, request: CloudRequest, timeout: Micros) {
        let (method, path, body) = cloud::http(&request);
        let response = self
            .client
            .call(&self.cloud_address, method, &path, body, timeout)
            .await;
        let result = match response {
            Ok((status, body)) => cloud::parse(&request, status, &body),
            Err(_) => Err(CallError::OutcomeUnknown),
        };
        self.post(Event::Cloud(call, result));
    }

    async fn push_command(
        self: Arc<Self>,
        call: CallId,
        endpoint: String,
        body: Vec<u8>,
        timeout: Micros,
    ) {
        let response = self
            .client
            .command(&endpoint, COMMANDS_PATH, body, timeout)
            .await;
        let result = response
            .ok()
            .and_then(|(status, body)| parse_command_response(status, &body));
        self.post(Event::AgentResponse(call, result));
    }

    fn respond_to_user(&self, call: CallId, response: UserResponse) {
        let sender = self.lock().pending_users.remove(&call);
        if let Some(sender) = sender {
            // Fails only if the user has disconnected.
            let _ = sender.send(response);
        }
    }
}

/// Parses an agent's response to commands: whether it carried them out (200) or rejected them (409), and the heartbeat
/// in the body. With any other status the agent has not carried them out either, and says nothing about its tasks.
fn parse_command_response(status: u16, body: &[u8]) -> Option<(bool, Heartbeat)> {
    let carried_out = match status {
        200 => true,
        409 => false,
        _ => return None,
    };
    Some((carried_out, Heartbeat::parse(body)?))
}
