//! Starts the store, the executors and the project's daemons as the deploy file says.

use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
pub const SERVICE: &str = "visit-desk";

/// A daemon; it is killed when this value is dropped.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    zone: String,
    ip: Ipv4Addr,
    process: Child,
}

impl Vm {
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Returns the resident memory, and its peak.
    pub fn memory(&self) -> String {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let lines = status.lines().filter(|line| line.starts_with("VmRSS") || line.starts_with("VmHWM"));
        lines.collect::<Vec<_>>().join(" ").replace('\t', " ")
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Notes the processes in the file that `LAB_PIDS` names, for the script to end what is left of them.
fn note_processes(text: &str, is_append: bool) {
    if let Ok(path) = std::env::var("LAB_PIDS") {
        let file = File::options().create(true).write(true).append(is_append).truncate(!is_append).open(path);
        let _ = file.and_then(|mut file| file.write_all(text.as_bytes()));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.vms.clear();
        note_processes("", false);
    }
}

/// Removes the temporary folder at the end.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

pub struct Fleet {
    /// First, so that the daemons end before what they call.
    pub vms: Vec<Vm>,
    pub workers: Vec<Worker>,
    pub store: Store,
    pub record: Record,
    folder: Folder,
}

/// Returns a loopback address for one machine of this process.
fn machine_ip(number: u8) -> Ipv4Addr {
    let [_, b, c, d] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + (b ^ c) % 100, d, number)
}

/// Reads the build and the start of the role from the deploy file.
fn deploy_value(text: &str, key: &str) -> String {
    let line = text.lines().find(|line| line.starts_with(&format!("{key} = ")));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.expect("a value in the deploy file").to_owned()
}

/// Fills in a settings template, whose placeholders are plain values here.
fn fill_in(template: &str, fields: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a placeholder without a value:\n{text}");
    text
}

impl Fleet {
    /// Starts one VM and some executors in each zone.
    pub fn start(record: &Record, zones: &[&str], vms_per_zone: usize, workers_per_zone: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("lab-4-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let folder = Folder(folder);
        let store = Store::start(machine_ip(200));
        store.write("op/config", &configuration(7));
        let mut workers = Vec::new();
        let mut vms = Vec::new();
        for (place, zone) in zones.iter().enumerate() {
            for number in 0..workers_per_zone {
                let ip = machine_ip(100 + (place * workers_per_zone + number) as u8);
                let kind = Kind { service: SERVICE, zone: (*zone).to_owned(), cpu: 16_000, mem_mb: 65_536 };
                let name = format!("i-{zone}-{number}");
                workers.push(Worker::start(&name, ip, kind, &store, record));
            }
        }
        for (place, zone) in zones.iter().enumerate() {
            for number in 0..vms_per_zone {
                let ip = machine_ip(1 + (place * vms_per_zone + number) as u8);
                let name = format!("frontend-{zone}-{}", number + 1);
                vms.push(start_vm(&name, zone, ip, store.address, &folder.0));
            }
        }
        Self { vms, workers, store, record: record.clone(), folder }
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        self.record.note(&format!("trouble: the process on {} is killed", vm.name));
        let _ = vm.process.kill();
        let _ = vm.process.wait();
    }

    /// Starts the process of a machine again.
    pub fn restart(&mut self, number: usize) {
        let vm = &self.vms[number];
        self.record.note(&format!("the process on {} is started again", vm.name));
        let (name, zone, ip) = (vm.name.clone(), vm.zone.clone(), vm.ip);
        self.vms[number] = start_vm(&name, &zone, ip, self.store.address, &self.folder.0);
    }

    /// Waits until all VMs report that they are ready, and some time more.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(15);
        for vm in &self.vms {
            loop {
                let sent = http::send(vm.ready, "GET", "/readyz", "ready", None, "");
                let answer = sent.ok().and_then(|sent| sent.answer(Duration::from_secs(1)).ok());
                if answer.is_some_and(|(status, _)| status == 200) {
                    break;
                }
                if Instant::now() > end {
                    return Err(format!("{} is not ready", vm.name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        std::thread::sleep(Duration::from_millis(1_500));
        self.record.note("all machines are ready");
        Ok(())
    }
}

fn start_vm(name: &str, zone: &str, ip: Ipv4Addr, store: SocketAddr, folder: &Path) -> Vm {
    let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let template = fs::read_to_string(deploy_value(&deploy, "template")).expect("the template");
    let front = SocketAddr::from((ip, 8161));
    let ready = SocketAddr::from((ip, 8167));
    let fields = [
        ("NodeName", name.to_owned()),
        ("Zone", zone.to_owned()),
        ("Ip", ip.to_string()),
        ("Limits.CpuShare", "0.25".to_owned()),
        ("Limits.MemoryMb", "260".to_owned()),
        ("Limits.MaxFds", "4100".to_owned()),
        ("Listen.Front", front.to_string()),
        ("Listen.ReadyAddr", ready.to_string()),
        ("PortRange.0", "7720".to_owned()),
        ("platform.Addr", store.to_string()),
        ("Bounds.GraceS", "6".to_owned()),
        ("Bounds.MaxHoldMs", "1000".to_owned()),
        ("Bounds.ResendMs", "1300".to_owned()),
        ("Orders", "invocation".to_owned()),
    ];
    let settings = folder.join(format!("{name}.conf"));
    fs::write(&settings, fill_in(&template, &fields)).expect("a settings file");
    let run = deploy_value(&deploy, "run").replace(
        "/etc/cardamomslip/settings.conf",
        settings.to_str().expect("a plain path"),
    );
    let mut words = run.split(' ');
    let log = File::create(folder.join(format!("{name}.log"))).expect("a log file");
    let process = Command::new(words.next().expect("a program"))
        .args(words)
        .env("CARDAMOMSLIP_SETTINGS", &settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn()
        .expect("the daemon starts; build it as the deploy file says");
    note_processes(&format!("{}\n", process.id()), true);
    Vm { name: name.to_owned(), callers: front, ready, zone: zone.to_owned(), ip, process }
}

/// Returns a configuration with one route.
pub fn configuration(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-wrr6x73","Host":"{HOST}","Prefix":"{PREFIX}","Kind":"non_idempotent","TimeoutMs":60000,"TargetLatencyMs":60,"Priority":0,"Service":"{SERVICE}","MaxAttempts":4,"Stretch":1.6}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/healthz","MaxConns":64,"Protocol":"h1","Tls":false,"RejectsOverload":true,"Spare":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}
