//! Decides which resources a subscriber is sent.

use std::collections::BTreeSet;

use crate::messages::{ResourceName, Subscribe, Watch};

/// The resources that a subscriber wants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Interest {
    /// Whether all resources of all scopes are wanted, deletions included; relays want them.
    pub everything: bool,
    /// The scopes of which all resources are wanted.
    pub scopes: BTreeSet<String>,
    /// The single resources of other scopes.
    pub names: BTreeSet<ResourceName>,
}

impl Interest {
    /// Returns an interest in all resources of all scopes.
    pub fn everything() -> Self {
        Self { everything: true, ..Self::default() }
    }

    /// Returns an interest in all resources of `scopes`.
    pub fn scopes<Text: Into<String>>(scopes: impl IntoIterator<Item = Text>) -> Self {
        Self { scopes: scopes.into_iter().map(Into::into).collect(), ..Self::default() }
    }

    /// Whether the subscriber wants the resource of `name`.
    pub fn matches(&self, name: &ResourceName) -> bool {
        self.everything || self.scopes.contains(&name.scope) || self.names.contains(name)
    }

    /// Removes and adds the names of `watch`.
    pub fn update(&mut self, watch: &Watch) {
        for name in &watch.remove {
            self.names.remove(name);
        }
        self.names.extend(watch.add.iter().cloned());
    }
}

impl From<&Subscribe> for Interest {
    fn from(message: &Subscribe) -> Self {
        Self {
            everything: message.everything,
            scopes: message.scopes.iter().cloned().collect(),
            names: message.names.iter().cloned().collect(),
        }
    }
}
