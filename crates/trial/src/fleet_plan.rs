//! Loopback addresses and options of a fleet under test.
//!
//! Every host, instance and stand-in has an IP address of its own. A trial claims
//! the second octet, so that trials on one machine do not share addresses.
//! The third octet names the data centre of a host or the kind of stand-in.

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
/// Second octets of which a trial claims one: the lowest, and their number.
const LOWEST_SECOND_OCTET: u32 = 16;
const SECOND_OCTET_COUNT: u32 = 200;
/// Third octet and port of the address that a trial binds to claim its second octet.
const CLAIM_THIRD_OCTET: u8 = 254;
const CLAIM_PORT: u16 = 7_999;
const PLATFORM_THIRD_OCTET: u8 = 200;
const LOG_RELAY_THIRD_OCTET: u8 = 201;
const INSTANCE_THIRD_OCTET: u8 = 210;
/// Third octet of the addresses at which the relay listens for instances.
const RELAYED_INSTANCE_THIRD_OCTET: u8 = 211;

/// Addresses of one host.
#[derive(Clone, Debug)]
pub struct HostPlan {
    /// Index of its data centre.
    pub data_centre: usize,
    /// IP address of the host.
    pub ip: IpAddr,
    /// Address to which callers connect.
    pub caller_address: SocketAddr,
    /// Address to which other hosts connect; the relay listens there.
    pub peer_address: SocketAddr,
    /// Address at which the host listens for other hosts, behind the relay.
    pub peer_listen_address: SocketAddr,
    /// Address to which operators connect.
    pub admin_address: SocketAddr,
}

/// Addresses and state of one instance.
#[derive(Clone, Debug)]
pub struct InstancePlan {
    /// Name of its service.
    pub service: &'static str,
    /// Index of its data centre.
    pub data_centre: usize,
    /// Address at which the instance listens.
    pub address: SocketAddr,
    /// Address on the host list; if it differs from `address`, the relay listens there.
    pub listed_address: SocketAddr,
    /// Whether the host list shows it as leaving.
    pub is_leaving: bool,
}

/// Addresses and options of a fleet.
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
    /// Address of the platform's log, behind the relay.
    pub log_address: SocketAddr,
    /// Address of the relay through which hosts reach the log.
    pub log_relay_address: SocketAddr,
    /// Address of the platform's host list.
    pub host_list_address: SocketAddr,
    /// Address of the control path of the instances.
    pub instance_control_address: SocketAddr,
    /// Address of the control path of the relay.
    pub relay_control_address: SocketAddr,
    /// Number of log records after which a host writes a snapshot.
    pub snapshot_records: u64,
    /// Milliseconds after which a host writes a snapshot.
    pub snapshot_ms: u64,
    /// Service time of a request at an instance, in milliseconds.
    pub service_ms: u64,
    /// Policy by which hosts choose instances: `shared`, `own` or `round-robin`.
    pub policy: String,
}

/// Name of the service of all instances.
pub const SERVICE_NAME: &str = "stock";

/// Claims a second octet of loopback addresses for the life of this process.
///
/// The listener stays bound until the process ends, so a trial that runs at the
/// same time finds the address in use and tries the next octet. If none is free,
/// the first choice is shared.
fn claim_second_octet() -> u8 {
    let first_step = std::process::id();
    let octet_at =
        |step: u32| (LOWEST_SECOND_OCTET + (first_step + step) % SECOND_OCTET_COUNT) as u8;
    for octet in (0..SECOND_OCTET_COUNT).map(octet_at) {
        let address = SocketAddr::from(([127, octet, CLAIM_THIRD_OCTET, 1], CLAIM_PORT));
        if let Ok(claim) = TcpListener::bind(address) {
            std::mem::forget(claim);
            return octet;
        }
    }
    octet_at(0)
}

impl FleetPlan {
    /// Plan of `hosts` hosts and `instances` instances, spread evenly over `data_centres`
    /// data centres.
    pub fn new(hosts: usize, instances: usize, data_centres: usize, shard_count: u32) -> Self {
        let second_octet = claim_second_octet();
        let ip = |third_octet: usize, fourth_octet: usize| {
            Ipv4Addr::new(127, second_octet, third_octet as u8, fourth_octet as u8)
        };
        let platform = |host: u8, port: u16| {
            SocketAddr::from((
                Ipv4Addr::new(127, second_octet, PLATFORM_THIRD_OCTET, host),
                port,
            ))
        };
        let instances = (0..instances)
            .map(|index| {
                let ip = ip(INSTANCE_THIRD_OCTET as usize, index + 1);
                let address = SocketAddr::from((ip, INSTANCE_PORT));
                InstancePlan {
                    service: SERVICE_NAME,
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
                Ipv4Addr::new(127, second_octet, LOG_RELAY_THIRD_OCTET, 1),
                PLATFORM_PORT,
            )),
            host_list_address: platform(2, PLATFORM_PORT),
            instance_control_address: platform(3, PLATFORM_PORT),
            relay_control_address: platform(4, PLATFORM_PORT),
            snapshot_records: 1_000,
            snapshot_ms: 600_000,
            service_ms: 2,
            policy: "shared".to_owned(),
        };
        for index in 0..hosts {
            plan.add_host(index % data_centres);
        }
        plan
    }

    /// Adds a host with a new address to the data centre with index `data_centre`; returns
    /// the host's index.
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

    /// Lists the instance with index `index` at an address of the relay, so that hosts can
    /// be cut off from it.
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

    /// IP addresses of the hosts in `data_centre`.
    pub fn ips_in(&self, data_centre: usize) -> Vec<IpAddr> {
        self.matching_ips(|host| host.data_centre == data_centre)
    }

    /// IP addresses of the hosts outside `data_centre`.
    pub fn ips_outside(&self, data_centre: usize) -> Vec<IpAddr> {
        self.matching_ips(|host| host.data_centre != data_centre)
    }

    fn matching_ips(&self, matches: impl Fn(&HostPlan) -> bool) -> Vec<IpAddr> {
        self.hosts
            .iter()
            .filter(|host| matches(host))
            .map(|host| host.ip)
            .collect()
    }

    /// Name of the data centre with index `data_centre`.
    pub fn data_centre_name(data_centre: usize) -> String {
        format!("dc{}", data_centre + 1)
    }

    /// Contents of the settings file of the host with index `index`.
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
            self.snapshot_ms,
            self.policy,
        )
    }
}
