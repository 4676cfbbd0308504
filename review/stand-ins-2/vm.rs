//! Entry VMs as processes of their own, with settings as the deploy file's template has them.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// The failure domains of the deployment with their regions.
pub const PLACES: [(&str, &str); 3] =
    [("lautoka", "viti-levu"), ("labasa", "vanua-levu"), ("lakeba", "lau")];

pub struct Vm {
    pub name: String,
    pub entry: SocketAddr,
    pub ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The last port that was found.
static LAST_PORT: AtomicU16 = AtomicU16::new(0);

/// The ports among which free ones are looked for; below those that the system gives to clients.
const PORT_MIN: u16 = 18_000;
const PORTS: u16 = 12_000;

/// Finds a port that is free for TCP and UDP.
fn free_port() -> std::io::Result<u16> {
    let first = (std::process::id() % 97) as u16 * 120;
    loop {
        let port = PORT_MIN + (first + LAST_PORT.fetch_add(1, Ordering::AcqRel)) % PORTS;
        let address = (Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(port);
        }
    }
}

impl Vm {
    /// Writes the settings of a VM; starts nothing.
    pub fn new(
        number: usize,
        program: &Path,
        folder: &Path,
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let (zone, _) = PLACES[number % PLACES.len()];
        let name = format!("edge-{zone}-{}", number / PLACES.len() + 1);
        let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let (entry, directory) = (address(free_port()?), address(free_port()?));
        let (ready, peer) = (address(free_port()?), address(free_port()?));
        let admin = address(free_port()?);
        let places: String = PLACES
            .iter()
            .map(|(zone, region)| format!("  - failure_domain: {zone}\n    region: {region}\n"))
            .collect();
        let text = format!(
            "vm: {name}\nfailure_domain: {zone}\nplaces:\n{places}entry_address: {entry}\n\
             directory_address: {directory}\nreadiness_address: {ready}\npeer_address: {peer}\n\
             admin_address: {admin}\nstore_address: {store}\nmemory_max: 260MiB\n\
             descriptors_max: 4100\nlink_bandwidth: 1000.0 Mbit/s\nwithdrawal_max: 5s\n\
             apply_max: 2.5s\ndrain_max: 2.5s\nend_max: 6s\nrepeats_ratio: \"0.2\"\n\
             repeats_slack: 60\ncontract_slack: 20 tokens\n"
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let (program, log) = (program.to_owned(), folder.join(format!("{name}.log")));
        Ok(Self { name, entry, ready, program, settings, log, child: None })
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL; does not wait for the end.
    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            child.kill().ok();
        }
    }

    /// Sends SIGTERM.
    pub fn stop(&self) {
        let pid = self.child.as_ref().map_or(0, Child::id).to_string();
        Command::new("kill").args(["-TERM", &pid]).status().ok();
    }

    /// Waits for the end of a process that was killed.
    pub fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.wait().ok();
        }
    }

    /// Waits until the VM says that it is ready; returns false if it does not in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if is_ready(self.ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
        self.reap();
    }
}

fn is_ready(address: SocketAddr) -> bool {
    use std::io::{BufReader, Write};
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok();
    let request = "GET /readiness HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let answer = crate::http::read_head(&mut BufReader::new(stream));
    matches!(answer, Ok(Some(message)) if message.status() == 200)
}
