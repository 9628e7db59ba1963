//! A configuration compiled for the request path: arenas with small keys.

use slotmap::{SlotMap, new_key_type};

use super::{
    collections::Map,
    customers::Keyring,
    inventory::{Address, CallerLimits, Class, Config, Instance, Kind, LeafState, Policy},
    keys::KeyRange,
};

new_key_type! {
    /// Key of a leaf in its catalog.
    pub struct LeafKey;
    /// Key of a shard in its catalog.
    pub struct ShardKey;
    /// Key of a service in its catalog.
    pub struct ServiceKey;
}

/// Number of leaves of one service and data centre in a group, which one relay
/// owns as a whole.
pub const LEAVES_PER_GROUP: usize = 8;

/// Identifies a leaf across revisions and processes: a hash of its name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeafId(pub u64);

impl LeafId {
    /// Returns the id of the leaf called `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}

/// Returns the 64-bit FNV-1a hash of `bytes`, equal in every process and release.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

/// A leaf as the request path sees it.
#[derive(Clone, Debug)]
pub struct LeafEntry {
    /// Identity across revisions.
    pub id: LeafId,
    /// Name in the inventory.
    pub name: String,
    /// Its shard.
    pub shard: ShardKey,
    /// Its service.
    pub service: ServiceKey,
    /// Name of its data centre.
    pub data_centre: String,
    /// Where it serves HTTP.
    pub address: Address,
    /// Whether the operators let it accept new work.
    pub state: LeafState,
    /// Hash by which the leaf's group is assigned to a relay.
    pub group: u64,
}

/// A key range of a service and the leaves that hold it.
#[derive(Clone, Debug)]
pub struct Shard {
    /// Its service.
    pub service: ServiceKey,
    /// The keys it holds.
    pub range: KeyRange,
    /// Its replicas.
    pub replicas: Vec<LeafKey>,
}

/// A service as the request path sees it.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Name in the inventory.
    pub name: String,
    /// Requests that one leaf runs at a time.
    pub slots: u32,
    /// Connections that one leaf accepts.
    pub connections: u32,
    /// Time that a new connection takes.
    pub connect: std::time::Duration,
    /// Its shards, by key range.
    pub shards: Vec<ShardKey>,
}

/// A kind of request with the shards it touches.
#[derive(Clone, Debug)]
pub struct KindEntry {
    /// The operators' rules.
    pub rules: Kind,
    /// Every shard of its services, by service and key range.
    pub shards: Vec<ShardKey>,
}

/// One revision of the configuration, compiled.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Revision it was compiled from.
    pub revision: u64,
    /// Partition epoch.
    pub epoch: u64,
    /// Policy of the fleet.
    pub policy: Policy,
    /// Region of each data centre, by name.
    pub regions: Map<String, String>,
    /// Instances that the inventory names.
    pub instances: Vec<Instance>,
    /// Leaves.
    pub leaves: SlotMap<LeafKey, LeafEntry>,
    /// Shards.
    pub shards: SlotMap<ShardKey, Shard>,
    /// Services.
    pub services: SlotMap<ServiceKey, ServiceEntry>,
    /// Leaves by their identity across revisions.
    pub ids: Map<LeafId, LeafKey>,
    /// Services by name.
    pub service_names: Map<String, ServiceKey>,
    /// Kinds by name.
    pub kinds: Map<String, KindEntry>,
    /// Prefixes and names of the kinds that are forwarded, by host, the longest
    /// prefix first.
    pub forwards: Map<String, Vec<(String, String)>>,
    /// Bounds on forwarded requests.
    pub callers: Option<CallerLimits>,
    /// Customers whose callers must send a key; `None` if callers need none.
    pub customers: Option<Keyring>,
}

impl Catalog {
    /// Compiles a configuration that has passed its check.
    #[must_use]
    pub fn new(revision: u64, config: &Config) -> Self {
        let mut catalog = Self {
            revision,
            epoch: config.epoch,
            policy: config.policy,
            instances: config.instances.clone(),
            callers: config.callers,
            customers: config.customers.as_deref().map(Keyring::new),
            ..Self::default()
        };
        for dc in &config.data_centres {
            catalog.regions.insert(dc.name.clone(), dc.region.clone());
        }
        for service in &config.services {
            let key = catalog.add_service(service);
            catalog.service_names.insert(service.name.clone(), key);
        }
        for kind in &config.kinds {
            let shards = kind
                .services
                .iter()
                .filter_map(|name| catalog.service_names.get(name))
                .flat_map(|key| catalog.services[*key].shards.clone())
                .collect();
            let entry = KindEntry {
                rules: kind.clone(),
                shards,
            };
            catalog.add_forward(kind);
            catalog.kinds.insert(kind.name.clone(), entry);
        }
        catalog
    }

    /// Returns the region of a data centre, if it is known.
    #[must_use]
    pub fn region(&self, data_centre: &str) -> Option<&String> {
        self.regions.get(data_centre)
    }

    /// Returns the leaf with identity `id`, if this revision has it.
    #[must_use]
    pub fn leaf(&self, id: LeafId) -> Option<&LeafEntry> {
        self.leaves.get(*self.ids.get(&id)?)
    }

    /// Returns the shard of a service that holds exactly `range`.
    #[must_use]
    pub fn shard_of(&self, service: &str, range: KeyRange) -> Option<ShardKey> {
        let service = self.service_names.get(service)?;
        let shards = self.services[*service].shards.iter().copied();
        let mut matching = shards.filter(|shard| self.shards[*shard].range == range);
        matching.next()
    }

    /// Returns the kind under which a caller's request is forwarded: among the
    /// kinds of its host, the one with the longest prefix of the path.
    #[must_use]
    pub fn forward_kind(&self, host: &str, path: &str) -> Option<&KindEntry> {
        let kinds = self.forwards.get(host)?.iter();
        let mut matching = kinds.filter(|(prefix, _)| path.starts_with(prefix.as_str()));
        let (_, name) = matching.next()?;
        self.kinds.get(name)
    }

    /// Returns whether content that no leaf is known to have run is first sent in
    /// a single canary call, for a kind with these rules.
    pub(crate) fn canary(&self, rules: &Kind) -> bool {
        rules.canary && self.policy == Policy::Adaptive
    }

    /// Returns the shard of `kind`'s first service that holds `key`; `None` if
    /// there is no such shard or `kind` is not a kind of action.
    #[must_use]
    pub fn action_shard(&self, kind: &KindEntry, key: u32) -> Option<ShardKey> {
        if kind.rules.class != Class::Action {
            return None;
        }
        kind.shards
            .iter()
            .copied()
            .find(|shard| self.shards[*shard].range.contains(key))
    }

    fn add_forward(&mut self, kind: &Kind) {
        let Some(forward) = &kind.forward else {
            return;
        };
        let kinds = self.forwards.entry(forward.host.clone()).or_default();
        let not_shorter = |(prefix, _): &(String, String)| prefix.len() >= forward.prefix.len();
        let index = kinds.partition_point(not_shorter);
        kinds.insert(index, (forward.prefix.clone(), kind.name.clone()));
    }

    fn add_service(&mut self, service: &super::inventory::Service) -> ServiceKey {
        let key = self.services.insert(ServiceEntry {
            name: service.name.clone(),
            slots: service.slots,
            connections: service.connections,
            connect: service.connect,
            shards: Vec::new(),
        });
        let mut counts: Map<&str, usize> = Map::default();
        let mut shards: Map<KeyRange, ShardKey> = Map::default();
        for leaf in &service.leaves {
            let range = leaf.range();
            let shard = *shards.entry(range).or_insert_with(|| {
                self.shards.insert(Shard {
                    service: key,
                    range,
                    replicas: Vec::new(),
                })
            });
            let count = counts.entry(&leaf.data_centre).or_default();
            let group = *count / LEAVES_PER_GROUP;
            *count += 1;
            let group_name = format!("{}/{}/{group}", service.name, leaf.data_centre);
            let id = LeafId::of(&leaf.name);
            let leaf_key = self.leaves.insert(LeafEntry {
                id,
                name: leaf.name.clone(),
                shard,
                service: key,
                data_centre: leaf.data_centre.clone(),
                address: leaf.address,
                state: leaf.state,
                group: stable_hash(group_name.as_bytes()),
            });
            self.shards[shard].replicas.push(leaf_key);
            self.ids.insert(id, leaf_key);
        }
        let mut ordered: Vec<(KeyRange, ShardKey)> = shards.into_iter().collect();
        ordered.sort_unstable_by_key(|(range, _)| *range);
        self.services[key].shards = ordered.into_iter().map(|(_, shard)| shard).collect();
        key
    }
}
