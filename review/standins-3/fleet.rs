//! Entry VMs as processes, started by the deploy file with its settings template.

use crate::http::call;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Ports of a VM: for clients, for the health check, and the first one for peers.
const PORTS: [u16; 3] = [8161, 8167, 7720];
/// Longest time until all VMs are ready.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Place of the settings file in the deploy file.
const SETTINGS_PATH: &str = "/etc/cardamomslip/settings.conf";

/// A running entry VM, which is killed when it is dropped.
#[derive(Debug)]
pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Where and how VMs are started.
#[derive(Debug)]
pub struct Launcher {
    folder: PathBuf,
    store: SocketAddr,
    run: Vec<String>,
    template: String,
    count: u8,
}

impl Drop for Launcher {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Launcher {
    /// Reads the deploy file in the present folder.
    pub fn new(store: SocketAddr) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let deploy = std::fs::read_to_string("deploy/system.toml")?;
        let field = |name: &str| {
            let line = deploy.lines().find(|line| line.starts_with(name));
            let text = line.and_then(|line| line.split('"').nth(1));
            text.map(str::to_owned)
                .ok_or(std::io::ErrorKind::InvalidData)
        };
        let run = field("run = ")?.split(' ').map(str::to_owned).collect();
        let template = std::fs::read_to_string(field("template = ")?)?;
        Ok(Self {
            folder,
            store,
            run,
            template,
            count: 0,
        })
    }

    /// Starts a VM on a loopback address of its own.
    pub fn launch(&mut self, zone: &str) -> std::io::Result<Vm> {
        self.count += 1;
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = format!("127.{}.{low}.{}", 64 + high % 128, self.count);
        let name = format!("frontend-{zone}-{}", self.count);
        let settings = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, self.fill_in(&name, zone, &ip))?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let path = settings.display().to_string();
        let mut words = self
            .run
            .iter()
            .map(|word| word.replace(SETTINGS_PATH, &path));
        let program = words.next().ok_or(std::io::ErrorKind::InvalidData)?;
        let mut command = Command::new(program);
        command.args(words).env("CARDAMOMSLIP_SETTINGS", &path);
        command
            .stdout(log.try_clone()?)
            .stderr(log)
            .stdin(Stdio::null());
        let address = |port: u16| format!("{ip}:{port}").parse();
        let address = |port| address(port).map_err(|_| std::io::ErrorKind::InvalidData);
        let (front, ready) = (address(PORTS[0])?, address(PORTS[1])?);
        let child = command.spawn()?;
        Ok(Vm {
            name,
            front,
            ready,
            child,
        })
    }

    fn fill_in(&self, name: &str, zone: &str, ip: &str) -> String {
        let address = |port: u16| format!("{ip}:{port}");
        let fields = [
            ("NodeName", name.to_owned()),
            ("Zone", zone.to_owned()),
            ("Limits.CpuShare", "0.25".to_owned()),
            ("Listen.Front", address(PORTS[0])),
            ("Listen.ReadyAddr", address(PORTS[1])),
            ("Ip", ip.to_owned()),
            ("PortRange.0", PORTS[2].to_string()),
            ("platform.Addr", self.store.to_string()),
            ("Bounds.GraceS", "6".to_owned()),
            ("Bounds.MaxHoldMs", "1000".to_owned()),
            ("Bounds.ResendMs", "1300".to_owned()),
            ("Orders", "invocation".to_owned()),
        ];
        let mut text = self.template.clone();
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        text
    }

    /// Copies the logs of all VMs next to the record, if asked for.
    pub fn keep_logs(&self, folder: &Path) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            return;
        }
        let files = std::fs::read_dir(&self.folder)
            .into_iter()
            .flatten()
            .flatten();
        for file in files {
            let _ = std::fs::copy(file.path(), folder.join(file.file_name()));
        }
    }
}

impl Vm {
    /// Returns whether the VM says that it is ready.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        call(
            self.ready,
            "GET",
            "/readyz",
            &[("Host", "ready")],
            "",
            limit,
        )
        .is_ok_and(|response| response.status == 200)
    }
}

/// Waits until all VMs are ready. Returns whether they are.
pub fn wait_ready(vms: &[Vm]) -> bool {
    let end = Instant::now() + START_LIMIT;
    while !vms.iter().all(Vm::is_ready) {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
