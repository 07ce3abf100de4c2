//! Memory that a process may use, and what limits it.

use procfs_core::{FromBufRead, Meminfo, ProcessCGroups};
use rustix::process::{Resource, getrlimit};
use std::fmt::{self, Display, Formatter};
use std::fs::File;
use std::io::BufReader;
use std::path::Path;

/// Directories of the control groups' unified hierarchy, alone or beside the older ones.
const UNIFIED_MOUNTS: [&str; 2] = ["sys/fs/cgroup", "sys/fs/cgroup/unified"];
/// File of a group of the unified hierarchy that contains its memory limit in bytes.
const UNIFIED_LIMIT: &str = "memory.max";
/// Directory of the older hierarchy of memory groups.
const MEMORY_MOUNT: &str = "sys/fs/cgroup/memory";
/// File of a group of the older hierarchy that contains its memory limit in bytes.
const MEMORY_LIMIT: &str = "memory.limit_in_bytes";

/// What limits the memory of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemorySource {
    /// The operator, in the settings.
    Settings,
    /// The memory of the machine.
    Physical,
    /// The control group of the process, or one that contains it.
    ControlGroup,
    /// The resource limit on data (`ulimit -d`).
    DataLimit,
    /// The resource limit on the address space (`ulimit -v`).
    AddressSpaceLimit,
}

impl Display for MemorySource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Settings => "settings",
            Self::Physical => "physical memory",
            Self::ControlGroup => "control group",
            Self::DataLimit => "limit on data",
            Self::AddressSpaceLimit => "limit on the address space",
        })
    }
}

/// Memory that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimit {
    /// Number of bytes.
    pub bytes: usize,
    /// What limits it.
    pub source: MemorySource,
}

impl Display for MemoryLimit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes, by {}", self.bytes, self.source)
    }
}

impl MemoryLimit {
    /// Returns the smallest limit on the memory of this process. `root` is the directory that contains
    /// `proc` and `sys`. Files that are missing or can't be read are passed over.
    #[must_use]
    pub fn detect(root: &Path) -> Option<Self> {
        let limits = [
            (MemorySource::Physical, physical(root)),
            (MemorySource::ControlGroup, control_group(root)),
            (MemorySource::DataLimit, resource_limit(Resource::Data)),
            (
                MemorySource::AddressSpaceLimit,
                resource_limit(Resource::As),
            ),
        ];
        let known = limits.into_iter().filter_map(|(source, bytes)| {
            let bytes = usize::try_from(bytes?).ok()?;
            Some(Self { bytes, source })
        });
        known.min_by_key(|limit| limit.bytes)
    }
}

fn physical(root: &Path) -> Option<u64> {
    let info: Meminfo = parse(&root.join("proc/meminfo"))?;
    Some(info.mem_total)
}

fn resource_limit(resource: Resource) -> Option<u64> {
    getrlimit(resource).current
}

/// Returns the smallest limit on the control groups that this process belongs to.
fn control_group(root: &Path) -> Option<u64> {
    let groups: ProcessCGroups = parse(&root.join("proc/self/cgroup"))?;
    let limits = groups.into_iter().filter_map(|group| {
        let path = Path::new(group.pathname.trim_start_matches('/'));
        if group.hierarchy == 0 {
            let mounts = UNIFIED_MOUNTS.iter();
            let limits = mounts.filter_map(|mount| smallest(root, mount, path, UNIFIED_LIMIT));
            limits.min()
        } else if group.controllers.iter().any(|name| name == "memory") {
            smallest(root, MEMORY_MOUNT, path, MEMORY_LIMIT)
        } else {
            None
        }
    });
    limits.min()
}

/// Returns the smallest limit of a group and the groups that contain it. In a container, the path of
/// the group may be one of outside that doesn't exist there.
fn smallest(root: &Path, mount: &str, group: &Path, file: &str) -> Option<u64> {
    let mount = root.join(mount);
    let groups = group.ancestors();
    let limits = groups.filter_map(|group| {
        let text = std::fs::read_to_string(mount.join(group).join(file)).ok()?;
        // A group without a limit has the word `max`.
        text.trim().parse().ok()
    });
    limits.min()
}

fn parse<T: FromBufRead>(file: &Path) -> Option<T> {
    let file = File::open(file).ok()?;
    T::from_buf_read(BufReader::new(file)).ok()
}
