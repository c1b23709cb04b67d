//! Restores the configuration from the node's state file at the start, and adds updates to the file.

use super::node_configuration::NodeConfiguration;
use super::update_error::UpdateError;
use ochrewalk_control_plane::clock::unix_ms;
use ochrewalk_control_plane::state_file::{PersistedState, PersistedStep, StateFile};
use ochrewalk_distribution::messages::{Position, ResourceKind, ResourceName};
use ochrewalk_distribution::CompleteUpdate;
use std::io;
use std::path::Path;

/// Opens a node's state file and applies its content to `state`. The node starts without a file that cannot be read, and the
/// next update overwrites such a file.
pub(super) fn open_and_restore(path: &Path, node: &str, state: &mut NodeConfiguration) -> StateFile {
    match StateFile::open(path, node) {
        Ok((file, persisted)) => {
            restore(state, persisted);
            file
        }
        Err(error) => {
            tracing::error!(part = "config", "{error}; beginning without it");
            StateFile::new(path, node)
        }
    }
}

/// Applies a persisted state up to the first step that no longer fits the node's files.
fn restore(state: &mut NodeConfiguration, persisted: PersistedState) {
    let PersistedState { steps, unix_ms: persisted_ms, damaged_bytes } = persisted;
    if damaged_bytes > 0 {
        tracing::warn!(
            part = "config",
            "the last {damaged_bytes} bytes of the persisted state are damaged and ignored"
        );
    }
    for step in steps {
        if let Err(error) = restore_step(state, step) {
            tracing::warn!(part = "config", "the persisted state is restored up to before this: {error}");
            break;
        }
    }
    let Position { epoch, revision } = state.position();
    if epoch > 0 {
        let age_s = unix_ms().saturating_sub(persisted_ms) / 1_000;
        tracing::info!(part = "config", "{epoch}.{revision} was persisted {age_s} s ago and is restored");
    }
}

fn restore_step(state: &mut NodeConfiguration, step: PersistedStep) -> Result<(), UpdateError> {
    match step {
        PersistedStep::Update(update) => {
            state.apply(&update)?;
        }
        PersistedStep::Forgotten(names) => {
            let quotas = names.iter().filter(|name| name.kind() == ResourceKind::Quota);
            state.forget_quotas(quotas.map(|name| name.name.as_str()));
        }
    }
    Ok(())
}

/// Persists an update that was applied to `state`: as a record, or as a snapshot of the complete state where one is due.
pub(super) fn persist(
    file: &mut StateFile,
    state: &NodeConfiguration,
    update: &CompleteUpdate,
) -> io::Result<()> {
    if !file.needs_snapshot() {
        return file.append(update, unix_ms());
    }
    file.write_snapshot(state.position(), state.resources(), state.absent_quotas(), unix_ms())
}

/// Persists that quotas were removed from `state`.
pub(super) fn persist_forgotten(
    file: &mut StateFile,
    state: &NodeConfiguration,
    forgotten: Vec<ResourceName>,
) -> io::Result<()> {
    file.append_forgotten(state.position(), forgotten, unix_ms())
}
