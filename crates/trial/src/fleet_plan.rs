//! Addresses of a fleet on loopback.
//!
//! Every host has an IP number of its own, in a range chosen by the process,
//! so that two trials on one machine do not meet.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

const CALLER_PORT: u16 = 7_000;
const PEER_PORT: u16 = 7_001;
const ADMIN_PORT: u16 = 7_002;
const PEER_LISTEN_PORT: u16 = 7_011;
const PLATFORM_PORT: u16 = 8_000;
const INSTANCE_PORT: u16 = 9_000;
const FIRST_SECOND_OCTET: u32 = 16;
const SECOND_OCTET_COUNT: u32 = 200;
const CLAIM_THIRD_OCTET: u8 = 254;
const CLAIM_PORT: u16 = 7_999;
const PLATFORM_THIRD_OCTET: u8 = 200;
const LOG_RELAY_THIRD_OCTET: u8 = 201;
const INSTANCE_THIRD_OCTET: u8 = 210;
const RELAYED_INSTANCE_THIRD_OCTET: u8 = 211;

/// Addresses of one host.
#[derive(Clone, Debug)]
pub struct HostPlan {
    /// Index of its data centre.
    pub data_centre: usize,
    /// IP number.
    pub ip: IpAddr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other hosts connect, through the relay.
    pub peer_address: SocketAddr,
    /// Where it listens for other hosts.
    pub peer_listen_address: SocketAddr,
    /// Where operators connect.
    pub admin_address: SocketAddr,
}

/// One instance.
#[derive(Clone, Debug)]
pub struct InstancePlan {
    /// Name of its service.
    pub service: &'static str,
    /// Index of its data centre.
    pub data_centre: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where hosts connect, through the relay if it differs from `address`.
    pub listed_address: SocketAddr,
    /// Whether the host list shows it as leaving.
    pub is_leaving: bool,
}

/// Addresses of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of shards.
    pub shard_count: u32,
    /// Number of data centres.
    pub data_centres: usize,
    /// Entry hosts.
    pub hosts: Vec<HostPlan>,
    /// Instances.
    pub instances: Vec<InstancePlan>,
    /// Log, behind the relay.
    pub log_address: SocketAddr,
    /// Log, as the hosts reach it.
    pub log_relay_address: SocketAddr,
    /// Host list.
    pub host_list_address: SocketAddr,
    /// Control of the instances.
    pub instance_control_address: SocketAddr,
    /// Control of the relay.
    pub relay_control_address: SocketAddr,
    /// Records after which a snapshot is written.
    pub snapshot_records: u64,
    /// Milliseconds after which a snapshot is written.
    pub snapshot_millis: u64,
    /// Milliseconds that a request takes on an instance.
    pub service_ms: u64,
    /// How hosts choose instances.
    pub policy: String,
}

/// Service of the stock ledger.
pub const STOCK: &str = "stock";

/// Claims a loopback range for the life of this process.
///
/// Trials run beside each other; the bound address keeps others out of the range.
fn claim_second_octet() -> u8 {
    let first = std::process::id();
    let range_of = |step: u32| (FIRST_SECOND_OCTET + (first + step) % SECOND_OCTET_COUNT) as u8;
    for range in (0..SECOND_OCTET_COUNT).map(range_of) {
        let address = SocketAddr::from(([127, range, CLAIM_THIRD_OCTET, 1], CLAIM_PORT));
        if let Ok(claim) = TcpListener::bind(address) {
            std::mem::forget(claim);
            return range;
        }
    }
    range_of(0)
}

impl FleetPlan {
    /// Plan of `hosts` hosts and `instances` instances over `data_centres` data centres.
    pub fn new(hosts: usize, instances: usize, data_centres: usize, shard_count: u32) -> Self {
        let range = claim_second_octet();
        let ip = |net: usize, host: usize| Ipv4Addr::new(127, range, net as u8, host as u8);
        let platform = |host: u8, port: u16| {
            SocketAddr::from((Ipv4Addr::new(127, range, PLATFORM_THIRD_OCTET, host), port))
        };
        let instances = (0..instances)
            .map(|index| {
                let ip = ip(INSTANCE_THIRD_OCTET as usize, index + 1);
                let address = SocketAddr::from((ip, INSTANCE_PORT));
                InstancePlan {
                    service: STOCK,
                    data_centre: index % data_centres,
                    address,
                    listed_address: address,
                    is_leaving: false,
                }
            })
            .collect();
        let mut plan = FleetPlan {
            shard_count,
            data_centres,
            hosts: Vec::new(),
            instances,
            log_address: platform(1, PLATFORM_PORT),
            log_relay_address: SocketAddr::from((
                Ipv4Addr::new(127, range, LOG_RELAY_THIRD_OCTET, 1),
                PLATFORM_PORT,
            )),
            host_list_address: platform(2, PLATFORM_PORT),
            instance_control_address: platform(3, PLATFORM_PORT),
            relay_control_address: platform(4, PLATFORM_PORT),
            snapshot_records: 1_000,
            snapshot_millis: 600_000,
            service_ms: 2,
            policy: "shared".to_owned(),
        };
        for index in 0..hosts {
            plan.add_host(index % data_centres);
        }
        plan
    }

    /// Adds a host with a new address to `data_centre` and returns its index.
    pub fn add_host(&mut self, data_centre: usize) -> usize {
        let index = self.hosts.len();
        let IpAddr::V4(platform) = self.log_address.ip() else {
            return index;
        };
        let ip = Ipv4Addr::new(
            127,
            platform.octets()[1],
            data_centre as u8 + 1,
            index as u8 + 1,
        );
        self.hosts.push(HostPlan {
            data_centre,
            ip: ip.into(),
            caller_address: SocketAddr::from((ip, CALLER_PORT)),
            peer_address: SocketAddr::from((ip, PEER_PORT)),
            peer_listen_address: SocketAddr::from((ip, PEER_LISTEN_PORT)),
            admin_address: SocketAddr::from((ip, ADMIN_PORT)),
        });
        index
    }

    /// Lets hosts reach the instance with index `index` only through the relay.
    pub fn relay_instance(&mut self, index: usize) {
        let IpAddr::V4(platform) = self.log_address.ip() else {
            return;
        };
        let ip = Ipv4Addr::new(
            127,
            platform.octets()[1],
            RELAYED_INSTANCE_THIRD_OCTET,
            index as u8 + 1,
        );
        self.instances[index].listed_address = SocketAddr::from((ip, INSTANCE_PORT));
    }

    /// IP numbers of the hosts in `data_centre`.
    pub fn ips_in(&self, data_centre: usize) -> Vec<IpAddr> {
        self.matching_ips(|host| host.data_centre == data_centre)
    }

    /// IP numbers of the hosts outside `data_centre`.
    pub fn ips_outside(&self, data_centre: usize) -> Vec<IpAddr> {
        self.matching_ips(|host| host.data_centre != data_centre)
    }

    fn matching_ips(&self, wanted: impl Fn(&HostPlan) -> bool) -> Vec<IpAddr> {
        self.hosts
            .iter()
            .filter(|host| wanted(host))
            .map(|host| host.ip)
            .collect()
    }

    /// Name of the data centre with index `data_centre`.
    pub fn data_centre_name(data_centre: usize) -> String {
        format!("dc{}", data_centre + 1)
    }

    /// Settings file of the host with index `index`.
    pub fn settings_file(&self, index: usize) -> String {
        let host = &self.hosts[index];
        format!(
            "[host]\ncallers = {}\npeers = {}\nlisten-peers = {}\nadmin = {}\ndata-centre = {}\n\n\
             [platform]\nlog = {}\nhost-list = {}\n\n[fleet]\nshards = {}\n\n\
             [snapshot]\nevery-records = {}\nevery-ms = {}\n\n[routing]\npolicy = {}\n",
            host.caller_address,
            host.peer_address,
            host.peer_listen_address,
            host.admin_address,
            FleetPlan::data_centre_name(host.data_centre),
            self.log_relay_address,
            self.host_list_address,
            self.shard_count,
            self.snapshot_records,
            self.snapshot_millis,
            self.policy,
        )
    }
}
