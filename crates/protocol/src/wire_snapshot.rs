//! A snapshot of the fold on the wire.
//!
//! Objects stand in a fixed order, so that equal folds have equal bytes.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_coordination::EditId;
use crocushoist_coordination::EditOutcome;
use crocushoist_coordination::RecordFold;
use crocushoist_state::ConfigChange;
use crocushoist_state::FleetConfig;
use crocushoist_state::KeyDigest;
use crocushoist_state::OfferId;
use crocushoist_state::ShardEntry;
use crocushoist_state::ShardTable;

use crate::ProtocolError;
use crate::WireChange;
use crate::WireHolder;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WireSnapshot {
    next_offset: u64,
    objects: Vec<(u64, CompactString, WireChange)>,
    keys: Vec<WireKey>,
    shards: Vec<WireShard>,
    outcomes: Vec<(u128, u64, Option<CompactString>)>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireKey {
    digest: [u8; 32],
    workspace: CompactString,
    revision: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireShard {
    holder: Option<WireHolder>,
    generation: u32,
    changed_at: u64,
    offer: Option<u64>,
}

/// Every object but the keys, as the change that makes it, with revision and author.
///
/// Objects that others refer to come first.
pub(crate) fn objects_of(config: &FleetConfig) -> Vec<(u64, CompactString, WireChange)> {
    let mut objects = Vec::new();
    let mut add = |revision: u64, author: &str, change: ConfigChange| {
        objects.push((
            revision,
            CompactString::from(author),
            WireChange::from(&change),
        ));
    };
    for (setting, value, revision) in config.defaults() {
        add(revision, "", ConfigChange::SetDefault { setting, value });
    }
    let mut workspaces: Vec<_> = config.workspaces().collect();
    workspaces.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    for entry in workspaces {
        let name = entry.name.clone();
        add(entry.revision, "", ConfigChange::PutWorkspace { name });
    }
    let mut services: Vec<_> = config.services().collect();
    services.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    for entry in services {
        let change = ConfigChange::PutService {
            name: entry.name.clone(),
            shed_is_not_run: entry.shed_is_not_run,
        };
        add(entry.revision, "", change);
    }
    let mut routes: Vec<_> = config.routes().iter().collect();
    routes.sort_unstable_by(|a, b| a.0.cmp(b.0));
    for (prefix, entry) in routes {
        let change = ConfigChange::PutRoute {
            prefix: prefix.clone(),
            service: config.service(entry.service).name.clone(),
            access: entry.access,
        };
        add(entry.revision, "", change);
    }
    for (scope, setting, entry) in config.exceptions() {
        let change = ConfigChange::PutException {
            scope: scope.clone(),
            setting,
            value: entry.value,
            reason: entry.reason.clone(),
        };
        add(entry.revision, &entry.author, change);
    }
    objects
}

impl From<&RecordFold> for WireSnapshot {
    fn from(fold: &RecordFold) -> Self {
        let config = fold.config();
        let mut keys: Vec<_> = config
            .keys()
            .map(|(digest, workspace, revision)| WireKey {
                digest: digest.0,
                workspace: config.workspace(workspace).name.clone(),
                revision,
            })
            .collect();
        keys.sort_unstable_by_key(|key| key.digest);
        let shards = fold
            .table()
            .iter()
            .map(|(_, entry)| WireShard {
                holder: entry.holder.as_ref().map(WireHolder::from),
                generation: entry.generation,
                changed_at: entry.changed_offset,
                offer: entry.offer.map(|offer| offer.0),
            })
            .collect();
        let outcomes = fold
            .outcomes()
            .map(|(id, outcome)| (id.0, outcome.offset, outcome.refused.clone()))
            .collect();
        WireSnapshot {
            next_offset: fold.next_offset(),
            objects: objects_of(config),
            keys,
            shards,
            outcomes,
        }
    }
}

impl TryFrom<WireSnapshot> for RecordFold {
    type Error = ProtocolError;

    fn try_from(snapshot: WireSnapshot) -> Result<Self, ProtocolError> {
        let mut config = FleetConfig::default();
        for (revision, author, change) in snapshot.objects {
            config.apply_without_base(&change.try_into()?, &author, revision)?;
        }
        for key in snapshot.keys {
            let change = ConfigChange::GrantKey {
                digest: KeyDigest(key.digest),
                workspace: key.workspace,
            };
            config.apply_without_base(&change, "", key.revision)?;
        }
        let entries = snapshot
            .shards
            .into_iter()
            .map(|shard| ShardEntry {
                holder: shard.holder.map(Into::into),
                generation: shard.generation,
                changed_offset: shard.changed_at,
                offer: shard.offer.map(OfferId),
            })
            .collect();
        let table = ShardTable::from_entries(entries);
        let mut fold = RecordFold::from_parts(config, table, snapshot.next_offset);
        for (id, offset, refused) in snapshot.outcomes {
            fold.restore_outcome(EditId(id), EditOutcome { offset, refused });
        }
        Ok(fold)
    }
}
