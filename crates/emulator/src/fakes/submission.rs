//! The request by which users submit a job.

use serde_json::{Value, json};

/// A job that a user submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The job's number.
    pub job: u64,
    /// Job class.
    pub lane: String,
    /// Team.
    pub crew: String,
    /// `sweep`, `standing` or `group`.
    pub shape: String,
    /// `critical`, `high`, `standard` or `low`.
    pub urgency: String,
    /// Number of tasks.
    pub pieces: u32,
    /// Cores of a task.
    pub cores: f64,
    /// Memory of a task in GB.
    pub mem: f64,
    /// Allowed machine types.
    pub builds: Option<Vec<String>>,
    /// The only allowed zone, if any.
    pub yard: Option<String>,
    /// All tasks have to run in one zone.
    pub one_zone: bool,
    /// At most half of the tasks may run in one zone.
    pub apart: bool,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Image.
    pub image: String,
    /// Size of the image in GB.
    pub size: f64,
    /// Estimated run time in seconds.
    pub guess: f64,
    /// Checkpoint interval in seconds; 0 means no checkpoints.
    pub bookmark: f64,
    /// Time to save a checkpoint, in seconds.
    pub stash: f64,
    /// Deadline in seconds from the submission.
    pub due: Option<f64>,
    /// Names of the jobs that must be done before it starts.
    pub awaits: Option<Vec<String>>,
}

impl Submission {
    /// Returns the name of a job.
    pub fn name(job: u64) -> String {
        format!("req-{job:06}")
    }

    /// The body of `POST /work`.
    pub fn body(&self) -> Value {
        json!({"nameId": Self::name(self.job), "lane": self.lane, "crew": self.crew, "shape": self.shape,
            "urgency": self.urgency, "pieces": self.pieces, "cores": self.cores, "accelerators": 0,
            "memGb": self.mem, "builds": self.builds, "yard": self.yard, "oneZone": self.one_zone,
            "apart": self.apart, "loaners": self.spot, "bundle": self.image, "sizeGb": self.size,
            "guessS": self.guess, "bookmarkS": self.bookmark, "stashS": self.stash, "dueS": self.due,
            "awaits": self.awaits})
    }
}
