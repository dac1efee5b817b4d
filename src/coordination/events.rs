//! The inputs and outputs of a controller: events, effects and the time.

use crate::protocol::cloud::{CloudReply, CloudRequest};
use crate::protocol::peer::PeerHint;
use crate::protocol::state::{CallError, StateRequest, StateResponse};
use crate::protocol::user::{UserRequest, UserResponse};
use crate::protocol::worker::{Heartbeat, HeartbeatResponse};
use crate::storage::ids::JobId;
use crate::time::Micros;
use std::borrow::Cow;

/// The current time on both clocks of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Monotonic time since the start of the process.
    pub monotonic: Micros,
    /// Time of day; its error is bounded by a setting of the deploy file.
    pub time_of_day: Micros,
}

/// Identifies a request that waits for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An input of the controller.
#[derive(Debug)]
pub enum Event {
    /// The process started, or time passed.
    Tick,
    /// A user's request; the response goes to this call.
    User(CallId, UserRequest),
    /// A malformed submission that names its job, with the reason for its refusal.
    InvalidSubmission(CallId, JobId, Cow<'static, str>),
    /// An agent's heartbeat; the response goes to this call.
    Heartbeat(CallId, Heartbeat),
    /// The response of the state store, or why there is none.
    State(CallId, Result<StateResponse, CallError>),
    /// The response of the cloud, or why there is none.
    Cloud(CallId, Result<CloudReply, CallError>),
    /// The response of an agent to a pushed command: whether it was carried out, and the agent's
    /// heartbeat. `None` if there was no response.
    AgentResponse(CallId, Option<(bool, Heartbeat)>),
    /// A hint from another controller.
    Peer(PeerHint),
}

/// An action that the controller asks its driver to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Send a request to the state store and wait this long for the response.
    State(CallId, StateRequest, Micros),
    /// Send a request to the cloud and wait this long for the response.
    Cloud(CallId, CloudRequest, Micros),
    /// Push a command to an agent.
    PushCommand {
        /// The call that the response belongs to.
        call: CallId,
        /// Address of the agent.
        endpoint: String,
        /// Body of the request.
        body: Vec<u8>,
        /// How long to wait for the response.
        timeout: Micros,
    },
    /// Respond to a user's request.
    User(CallId, UserResponse),
    /// Respond to an agent's heartbeat.
    Heartbeat(CallId, HeartbeatResponse),
    /// Send a hint to all other controllers.
    Peers(PeerHint),
}
