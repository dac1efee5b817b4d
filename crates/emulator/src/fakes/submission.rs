//! The request by which users submit a job.

use serde_json::{Value, json};

/// A job that a user submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The job's number.
    pub job: u64,
    /// Job class.
    pub job_class: String,
    /// Team.
    pub team: String,
    /// `sweep`, `standing` or `group`.
    pub shape: String,
    /// `critical`, `high`, `standard` or `low`.
    pub urgency: String,
    /// Number of tasks.
    pub task_count: u32,
    /// Cores of a task.
    pub cores: f64,
    /// Memory of a task in GB.
    pub memory_gb: f64,
    /// Allowed machine types.
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone, if any.
    pub zone: Option<String>,
    /// All tasks have to run in one zone.
    pub one_zone: bool,
    /// At most half of the tasks may run in one zone.
    pub anti_affinity: bool,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Image.
    pub image: String,
    /// Size of the image in GB.
    pub image_size_gb: f64,
    /// Estimated run time in seconds.
    pub estimated_run_s: f64,
    /// Checkpoint interval in seconds; 0 means no checkpoints.
    pub checkpoint_interval_s: f64,
    /// Time to save a checkpoint, in seconds.
    pub checkpoint_duration_s: f64,
    /// Deadline in seconds from the submission.
    pub deadline_s: Option<f64>,
    /// Names of the jobs that must be done before it starts.
    pub dependencies: Option<Vec<String>>,
}

impl Submission {
    /// Returns the name of a job.
    pub fn name(job: u64) -> String {
        format!("req-{job:06}")
    }

    /// The body of `POST /work`.
    pub fn body(&self) -> Value {
        json!({"nameId": Self::name(self.job), "lane": self.job_class, "crew": self.team, "shape": self.shape,
            "urgency": self.urgency, "pieces": self.task_count, "cores": self.cores, "accelerators": 0,
            "memGb": self.memory_gb, "builds": self.machine_types, "yard": self.zone, "oneZone": self.one_zone,
            "apart": self.anti_affinity, "loaners": self.spot, "bundle": self.image, "sizeGb": self.image_size_gb,
            "guessS": self.estimated_run_s, "bookmarkS": self.checkpoint_interval_s,
            "stashS": self.checkpoint_duration_s, "dueS": self.deadline_s, "awaits": self.dependencies})
    }
}
