//! Logs the events of the directory.

use crate::modules::directory::Note;

/// Logs one event.
pub(super) fn log(note: &Note) {
    match note {
        Note::InForce { version } => tracing::info!(version, "a configuration is in force"),
        Note::OlderVersion { held, offered } => tracing::warn!(
            held,
            offered,
            "an older configuration is ignored; write one with a higher version"
        ),
        Note::Registered { leaf, state, born } => {
            tracing::info!(leaf, ?state, born, "a leaf registered");
        }
        Note::OldEntry { leaf } => tracing::debug!(leaf, "an old entry of a leaf is ignored"),
        Note::Gone { leaf } => tracing::info!(leaf, "a leaf was removed"),
        Note::Unreadable { key, fault } => tracing::warn!(
            key,
            fault,
            "an entry of the registry cannot be read; correct or remove it"
        ),
    }
}
