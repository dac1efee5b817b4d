//! A submission, as users send it.

use serde_json::{Value, json};

/// A job that a user submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The job's number.
    pub job: u64,
    /// Class.
    pub lane: String,
    /// Team.
    pub crew: String,
    /// `check_timeouts`, `standing` or `group`.
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
    /// The only allowed zone.
    pub yard: Option<String>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half of the tasks in one zone.
    pub apart: bool,
    /// Spot machines are allowed.
    pub spot: bool,
    /// Image.
    pub image: String,
    /// Its size in GB.
    pub size: f64,
    /// Estimated run time in seconds.
    pub guess: f64,
    /// Interval of checkpoints in seconds; 0: none.
    pub bookmark: f64,
    /// What saving takes, in seconds.
    pub stash: f64,
    /// Deadline in seconds from the submission.
    pub due: Option<f64>,
    /// Jobs that it awaits.
    pub awaits: Option<Vec<String>>,
}

impl Submission {
    /// A job's name.
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
