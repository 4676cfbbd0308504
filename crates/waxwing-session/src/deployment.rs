//! A platform, backend servers and entry VMs as processes on loopback.
//!
//! Each machine has an IP number of its own in 127.0.0.0/8, so that ports are the same on all of
//! them and two deployments don't meet.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use waxwing_stand_ins::caller;

/// The port of a process for what it mainly does.
const MAIN_PORT: u16 = 7000;

/// How long to wait for something to become true.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// How often to look whether it is true.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Entry VMs that a look-up names, at most.
const LOOKUP_VMS_MAX: usize = 4;

/// The processes of an entry VM with the last digit of their ports.
const PROCESSES: [(&str, u16); 3] =
    [("waxwing-keeper", 2), ("waxwing-lookup", 4), ("waxwing-entry", 6)];

/// A process that was started, ended when dropped.
#[derive(Debug)]
struct Started {
    name: String,
    child: process::Child,
}

impl Drop for Started {
    fn drop(&mut self) {
        if self.child.kill().is_ok() {
            self.child.wait().ok();
        }
    }
}

/// A platform, backend servers and entry VMs.
#[derive(Debug)]
pub struct Deployment {
    net: [u8; 2],
    directory: path::PathBuf,
    started: Vec<Started>,
    vms: Vec<(String, String)>,
}

/// Waits until `is_true`.
///
/// # Panics
///
/// Panics where it does not become true in time.
pub fn wait_until(what: &str, mut is_true: impl FnMut() -> bool) {
    let began_at = time::Instant::now();
    while !is_true() {
        assert!(began_at.elapsed() < PATIENCE, "waited in vain: {what}");
        thread::sleep(LOOK_INTERVAL);
    }
}

impl Deployment {
    /// Starts the platform of a deployment that has the number `number`.
    ///
    /// # Panics
    ///
    /// Panics where the process can't be started.
    pub fn start(number: u8) -> Self {
        let own = u8::try_from(process::id() % 200).unwrap_or(0) + 20;
        let directory = std::env::temp_dir().join(format!("waxwing-{}-{number}", process::id()));
        fs::create_dir_all(&directory).expect("a directory for settings and logs");
        let mut deployment =
            Self { net: [own, number], directory, started: Vec::new(), vms: Vec::new() };
        let listen = deployment.platform().to_string();
        deployment.run("platform", "waxwing-stand-in-platform", &["--listen", &listen]);
        let platform = deployment.platform();
        wait_until("the platform listens", || caller::connect(platform).is_ok());
        deployment
    }

    fn address(&self, machine: u8, port: u16) -> net::SocketAddr {
        let [second, third] = self.net;
        net::SocketAddr::from(([127, second, third, machine], port))
    }

    /// Returns where the platform answers.
    pub fn platform(&self) -> net::SocketAddr {
        self.address(1, MAIN_PORT)
    }

    fn vm_number(&self, vm: &str) -> u8 {
        let at = self.vms.iter().position(|(name, _)| name == vm).expect("a known VM");
        u8::try_from(at).expect("few VMs") + 100
    }

    /// Returns where an entry VM takes requests.
    pub fn entry(&self, vm: &str) -> net::SocketAddr {
        self.address(self.vm_number(vm), MAIN_PORT + 6)
    }

    /// Returns where an entry VM takes requests that others pass on.
    pub fn forward(&self, vm: &str) -> net::SocketAddr {
        self.address(self.vm_number(vm), MAIN_PORT + 7)
    }

    /// Returns where an entry VM answers look-ups.
    pub fn lookup(&self, vm: &str) -> net::SocketAddr {
        self.address(self.vm_number(vm), MAIN_PORT + 4)
    }

    /// Returns where an entry VM's keeper receives datagrams.
    pub fn peer(&self, vm: &str) -> net::SocketAddr {
        self.address(self.vm_number(vm), MAIN_PORT + 2)
    }

    /// Returns the admin address of a process of an entry VM.
    ///
    /// # Panics
    ///
    /// Panics where there is no such process.
    pub fn admin(&self, vm: &str, process: &str) -> net::SocketAddr {
        let port = PROCESSES.iter().find(|(name, _)| *name == process).expect("a process").1;
        self.address(self.vm_number(vm), MAIN_PORT + 100 + port)
    }

    /// Returns where the backend server with this number listens.
    pub fn backend(&self, number: u8) -> net::SocketAddr {
        self.address(10 + number, MAIN_PORT)
    }

    /// Starts a backend server.
    pub fn start_backend(&mut self, name: &str, number: u8, slots: u32) {
        let (listen, slots) = (self.backend(number).to_string(), slots.to_string());
        let arguments = ["--listen", &listen, "--name", name, "--slots", &slots];
        self.run(name, "waxwing-stand-in-backend", &arguments);
        let address = self.backend(number);
        wait_until("the backend server listens", || caller::connect(address).is_ok());
    }

    /// Names the entry VMs with their failure domains, tells the platform of them, and starts
    /// their processes.
    pub fn start_vms(&mut self, vms: &[(&str, &str)]) {
        self.vms = vms.iter().map(|(vm, domain)| (vm.to_string(), domain.to_string())).collect();
        self.list_vms(vms.iter().map(|(vm, _)| *vm).collect::<Vec<_>>().as_slice());
        for (vm, _) in vms {
            self.start_vm(vm);
        }
        self.wait_until_ready();
    }

    /// Names one more entry VM and starts its processes; the platform is not told.
    pub fn add_vm(&mut self, vm: &str, failure_domain: &str) {
        self.vms.push((vm.to_owned(), failure_domain.to_owned()));
        self.start_vm(vm);
    }

    /// Starts the processes of a named entry VM.
    pub fn start_vm(&mut self, vm: &str) {
        for (process, _) in PROCESSES {
            self.start_process(vm, process);
        }
    }

    /// Starts one process of a named entry VM.
    pub fn start_process(&mut self, vm: &str, process: &str) {
        let settings = self.write_settings(vm, process);
        let settings = settings.display().to_string();
        self.run(&format!("{vm}.{process}"), process, &["--settings", &settings]);
    }

    /// Waits until all look-ups name all machines and all entry processes have slots.
    fn wait_until_ready(&self) {
        for (vm, _) in &self.vms {
            let named = self.vms.len().min(LOOKUP_VMS_MAX);
            wait_until("a look-up names enough VMs", || self.looked_up(vm).len() == named);
        }
    }

    /// Returns the entry VMs that a look-up at `vm` names, in order.
    pub fn looked_up(&self, vm: &str) -> Vec<String> {
        let request = caller::Request::new("GET", "/lookup");
        let Ok(answer) = caller::call(self.lookup(vm), &request) else {
            return Vec::new();
        };
        let answer: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let vms = answer["vms"].as_array().cloned().unwrap_or_default();
        vms.iter().filter_map(|vm| Some(vm["vm"].as_str()?.to_owned())).collect()
    }

    /// Tells the platform which entry VMs there are.
    pub fn list_vms(&self, vms: &[&str]) {
        let list: Vec<serde_json::Value> = self
            .vms
            .iter()
            .filter(|(vm, _)| vms.contains(&vm.as_str()))
            .map(|(vm, domain)| {
                serde_json::json!({
                    "vm": vm, "failure_domain": domain, "peer_address": self.peer(vm),
                    "entry_address": self.entry(vm), "forward_address": self.forward(vm), "phase": "live",
                })
            })
            .collect();
        self.control(self.platform(), "/control/vms", &serde_json::Value::Array(list));
    }

    /// Tells a stand-in how to behave.
    ///
    /// # Panics
    ///
    /// Panics where the stand-in does not answer.
    pub fn control(&self, address: net::SocketAddr, path: &str, value: &serde_json::Value) {
        let request = caller::Request::new("POST", path)
            .header("content-type", "application/json")
            .body(value.to_string().into_bytes());
        let answer = caller::call(address, &request).expect("the stand-in answers");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    /// Reads JSON from a process.
    ///
    /// # Panics
    ///
    /// Panics where the process does not answer.
    pub fn read(&self, address: net::SocketAddr, path: &str) -> serde_json::Value {
        let answer = caller::call(address, &caller::Request::new("GET", path));
        serde_json::from_slice(&answer.expect("the process answers").body).expect("JSON")
    }

    fn write_settings(&self, vm: &str, process: &str) -> path::PathBuf {
        let domain = &self.vms.iter().find(|(name, _)| name == vm).expect("a known VM").1;
        let keeper = self.address(self.vm_number(vm), MAIN_PORT + 1);
        let admin = self.admin(vm, process);
        let own = match process {
            "waxwing-keeper" => format!(
                "peer_address: {}\nlocal_address: 127.0.0.1:0\nentry_address: {}\n\
                 forward_address: {}\nplatform_address: {}\n",
                self.peer(vm),
                self.entry(vm),
                self.forward(vm),
                self.platform()
            )
            .replace("127.0.0.1:0", &keeper.to_string()),
            "waxwing-lookup" => {
                format!("listen_address: {}\nkeeper_address: {keeper}\n", self.lookup(vm))
            }
            _ => format!(
                "listen_address: {}\nforward_address: {}\nkeeper_address: {keeper}\nlinger: 500ms\n",
                self.entry(vm),
                self.forward(vm)
            ),
        };
        let text = format!("vm: {vm}\nfailure_domain: {domain}\nadmin_address: {admin}\n{own}");
        let path = self.directory.join(format!("{vm}.{process}.yaml"));
        fs::write(&path, text).expect("settings can be written");
        path
    }

    fn run(&mut self, name: &str, binary: &str, arguments: &[&str]) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{name}.log")))
            .expect("a log can be written");
        let child = process::Command::new(binary_path(binary))
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(log.try_clone().expect("a log can be written"))
            .stderr(log)
            .spawn()
            .expect("the process starts; build all binaries first");
        self.started.push(Started { name: name.to_owned(), child });
    }

    /// Runs the operator's command and returns its exit code and what it printed.
    ///
    /// # Panics
    ///
    /// Panics where the command can't be started.
    pub fn waxwing(&self, arguments: &[&str]) -> (i32, String) {
        let settings = self.directory.join("waxwing.yaml");
        let mut text = format!("platform_address: {}\nadmin_addresses:\n", self.platform());
        for (vm, _) in &self.vms {
            for (process, _) in PROCESSES {
                text.push_str(&format!("  - {}\n", self.admin(vm, process)));
            }
        }
        fs::write(&settings, text).expect("settings can be written");
        let output = process::Command::new(binary_path("waxwing"))
            .arg("--settings")
            .arg(settings)
            .args(arguments)
            .output()
            .expect("the command starts; build all binaries first");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
    }

    /// Writes records through the operator's command.
    ///
    /// # Panics
    ///
    /// Panics where the command refuses.
    pub fn apply(&self, records: &str) {
        let path = self.directory.join("records.yaml");
        fs::write(&path, records).expect("records can be written");
        let (code, text) = self.waxwing(&["apply", &path.display().to_string()]);
        assert_eq!(code, 0, "{text}");
    }

    /// Issues a key and returns it.
    ///
    /// # Panics
    ///
    /// Panics where the command refuses.
    pub fn issue_key(&self, name: &str, organisation: &str) -> String {
        let (code, text) = self.waxwing(&["key", "issue", name, "--organisation", organisation]);
        assert_eq!(code, 0, "{text}");
        text.lines().find(|line| line.starts_with("wx-")).expect("a key").to_owned()
    }

    /// Sends a signal to a process, such as TERM, STOP or CONT.
    ///
    /// # Panics
    ///
    /// Panics where the signal can't be sent.
    pub fn signal(&self, name: &str, signal: &str) {
        let started = self.started.iter().rev().find(|started| started.name == name);
        let pid = started.expect("a started process").child.id().to_string();
        let sent = process::Command::new("kill").args([format!("-{signal}"), pid]).status();
        assert!(sent.expect("kill starts").success(), "{name}");
    }

    /// Ends a process at once.
    ///
    /// # Panics
    ///
    /// Panics where there is no such process.
    pub fn kill(&mut self, name: &str) {
        let at = self.started.iter().rposition(|started| started.name == name);
        drop(self.started.remove(at.expect("a started process")));
    }

    /// Returns the process id of a process.
    ///
    /// # Panics
    ///
    /// Panics where there is no such process.
    pub fn pid(&self, name: &str) -> u32 {
        let started = self.started.iter().rev().find(|started| started.name == name);
        started.expect("a started process").child.id()
    }

    /// Waits until a process has ended by itself.
    ///
    /// # Panics
    ///
    /// Panics where it does not end in time.
    pub fn wait_for_end(&mut self, name: &str) {
        let at = self.started.iter().rposition(|started| started.name == name);
        let child = &mut self.started[at.expect("a started process")].child;
        wait_until("the process ends", || matches!(child.try_wait(), Ok(Some(_))));
    }

    /// Returns everything that all processes have logged.
    ///
    /// # Errors
    ///
    /// Returns an error where a log can't be read.
    pub fn logs(&self) -> io::Result<Vec<u8>> {
        let mut logs = Vec::new();
        for entry in fs::read_dir(&self.directory)? {
            let path = entry?.path();
            if path.extension().is_some_and(|extension| extension == "log") {
                logs.extend(fs::read(path)?);
            }
        }
        Ok(logs)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.started.clear();
        if !thread::panicking() {
            fs::remove_dir_all(&self.directory).ok();
        }
    }
}

/// Returns the path of a binary that was built beside the running test.
///
/// # Panics
///
/// Panics where the running test's own path is not known.
pub fn binary_path(binary: &str) -> path::PathBuf {
    let mut path = std::env::current_exe().expect("the test's own path");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.join(binary)
}
