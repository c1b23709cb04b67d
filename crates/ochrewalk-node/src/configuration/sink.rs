//! Applies updates to the node and persists them.

use super::handle::ConfigurationHandle;
use super::persistence::persist;
use super::update_error::UpdateError;
use ochrewalk_control_plane::agent::ConfigurationSink;
use ochrewalk_control_plane::state_file::StateFile;
use ochrewalk_distribution::messages::Position;
use ochrewalk_distribution::CompleteUpdate;

/// Applies each update as a whole or not at all, and adds it to the state file.
pub(super) struct NodeSink<'a> {
    pub(super) handle: &'a ConfigurationHandle,
    pub(super) file: Option<&'a mut StateFile>,
}

impl ConfigurationSink for NodeSink<'_> {
    type Error = UpdateError;

    fn apply(&mut self, update: &CompleteUpdate) -> Result<(), UpdateError> {
        let Position { epoch, revision } = update.position;
        let mut state = self.handle.state();
        let in_force = state.apply(update).inspect_err(|error| {
            tracing::warn!(part = "config", "update {epoch}.{revision} is rejected: {error}");
        })?;
        self.handle.activate(in_force);
        let changes = update.resources.len();
        tracing::debug!(part = "config", "update {epoch}.{revision} is in force, {changes} changes");
        if let Some(file) = &mut self.file {
            if let Err(error) = persist(file, &state, update) {
                tracing::warn!(part = "config", "update is in force but not persisted: {error}");
            }
        }
        Ok(())
    }
}
