//! Assignment of shards to teams with a guarantee or a limit that a later deploy file added.

use crate::coordination::Controller;
use crate::protocol::settings::Team;
use crate::protocol::state::encode;
use crate::storage::cell_state::Job;
use crate::storage::records::{Key, MetaRecord};

impl Controller {
    /// Whether a team of the deploy file has a guarantee or a limit but no shard of its own, because a later deploy file
    /// added it. The jobs of such a team are spread over all shards, so no leader could enforce its limit.
    pub(in crate::coordination) fn lacks_shard(&self, team: &Team) -> bool {
        team.has_guarantee_or_limit()
            && self
                .cell
                .meta
                .value
                .as_ref()
                .is_some_and(|metadata| !metadata.teams.contains_key(&team.name))
    }

    /// Assigns a shard to each such team once the team has no assignment in any shard and the ends of its tasks are all
    /// recorded. Until then nothing is assigned for the team, and rounds that were planned earlier fail because
    /// assignments are conditional on the teams' shards.
    pub(super) fn drive_team_shards(&mut self) {
        let now = self.now.monotonic;
        let Some(metadata) = &self.cell.meta.value else {
            return;
        };
        if self.teams_without_shard().next().is_none() {
            return;
        }
        let record = self.with_team_shards(metadata);
        if record.teams.len() == metadata.teams.len() {
            return;
        }
        if let Some(due) = self.leadership.metadata.not_before(now) {
            self.wake_at(due);
            return;
        }
        self.leadership.metadata.on_attempt(now);
        let value = encode(&record);
        let fits = |value: &str| value.len() <= self.limits.value_bytes();
        if !value.as_ref().is_some_and(|value| fits(value.get())) {
            return;
        }
        tracing::info!(teams = ?record.teams, "assigning shards to new teams");
        self.write_metadata(vec![(Key::Meta, self.cell.meta.mod_revision)], value);
    }

    fn teams_without_shard(&self) -> impl Iterator<Item = &Team> {
        let teams = self.settings.teams.iter();
        teams.filter(|team| self.lacks_shard(team))
    }

    /// The metadata with a shard for each team that has none and is idle.
    fn with_team_shards(&self, metadata: &MetaRecord) -> MetaRecord {
        let mut record = metadata.clone();
        for team in self.teams_without_shard() {
            if self.is_team_idle(&team.name) {
                let shard = record.teams.len() % record.shards.max(1);
                record.teams.insert(team.name.clone(), shard);
            }
        }
        record
    }

    /// Whether a team has no usage in any shard, and the job records contain the ends of all its ended tasks.
    fn is_team_idle(&self, team: &str) -> bool {
        let unused = (0..self.cell.usage.len())
            .all(|shard| self.cell.assigned_to_team(shard, team) == (0, 0));
        let has_pending_ends = |job: &Job| {
            job.spec().team == team && !job.record.finished.covers(&job.recorded_finished_tasks)
        };
        unused && !self.cell.jobs.values().any(has_pending_ends)
    }
}
