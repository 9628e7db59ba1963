//! Logs the events of the directory.

use crate::modules::directory::DirectoryEvent;

/// Logs one event.
pub(super) fn log(event: &DirectoryEvent) {
    match event {
        DirectoryEvent::InForce { version } => {
            tracing::info!(version, "a configuration is in force");
        }
        DirectoryEvent::OlderVersion { held, offered } => tracing::warn!(
            held,
            offered,
            "an older configuration is ignored; write one with a higher version"
        ),
        DirectoryEvent::Loaded { leaves } => tracing::info!(leaves, "the leaves are known"),
        DirectoryEvent::Registered { leaf, state, born } => {
            tracing::info!(leaf, ?state, born, "a leaf registered");
        }
        DirectoryEvent::OldEntry { leaf } => {
            tracing::debug!(leaf, "an old entry of a leaf is ignored");
        }
        DirectoryEvent::Gone { leaf } => tracing::info!(leaf, "a leaf was removed"),
        DirectoryEvent::Quarantined { content, leaves } => tracing::warn!(
            content,
            ?leaves,
            "request content crashes leaves and is quarantined"
        ),
        DirectoryEvent::Released { content } => tracing::info!(
            content,
            "a leaf has answered quarantined request content; it is served again"
        ),
        DirectoryEvent::Evacuated { data_centre } => tracing::info!(
            data_centre,
            "a data centre is evacuated; its leaves get no calls"
        ),
        DirectoryEvent::EvacuationEnded { data_centre } => {
            tracing::info!(data_centre, "the evacuation of a data centre has ended");
        }
        DirectoryEvent::Unreadable { key, fault } => tracing::warn!(
            key,
            fault,
            "an entry of the registry cannot be read; correct or remove it"
        ),
    }
}
