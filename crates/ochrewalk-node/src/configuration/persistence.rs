//! The node's state file: what is restored at the start, and what is added.

use super::node_configuration::NodeConfiguration;
use ochrewalk_control_plane::clock::unix_ms;
use ochrewalk_control_plane::state_file::{PersistedState, PersistedStep, StateFile};
use ochrewalk_distribution::messages::{Position, ResourceKind};
use ochrewalk_distribution::CompleteUpdate;
use std::io;

/// Applies a persisted state as far as it still fits the node's files.
pub(super) fn restore(state: &mut NodeConfiguration, persisted: PersistedState) {
    if persisted.damaged_bytes > 0 {
        let bytes = persisted.damaged_bytes;
        tracing::warn!(
            part = "config",
            "the last {bytes} bytes of the persisted state are damaged and ignored"
        );
    }
    for step in persisted.steps {
        let restored = match step {
            PersistedStep::Update(update) => state.apply(&update).map(|_| ()),
            PersistedStep::Forgotten(names) => {
                let tenants = names.iter().filter(|name| name.kind() == ResourceKind::Quota);
                state.forget_quotas(tenants.map(|name| name.name.as_str()));
                Ok(())
            }
        };
        if let Err(error) = restored {
            tracing::warn!(part = "config", "the persisted state is restored up to before this: {error}");
            break;
        }
    }
    let Position { epoch, revision } = state.position();
    if epoch > 0 {
        let age_s = unix_ms().saturating_sub(persisted.unix_ms) / 1_000;
        tracing::info!(part = "config", "{epoch}.{revision} was persisted {age_s} s ago and is restored");
    }
}

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
