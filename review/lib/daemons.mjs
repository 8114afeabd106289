/** Starts the daemon with the command of the deploy file, with settings like those of a small deployment. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import { findPorts, sleep } from "./tools.mjs";

const repository = path.resolve(import.meta.dirname, "../..");
const restartDelayMs = 500;
/** Ports of a daemon: four addresses that it serves, and one for its metrics. */
const portsPerDaemon = 5;

const readCommand = () => {
    const text = fs.readFileSync(path.join(repository, "deploy/system.toml"), "utf8");
    return /^run = "([^"]+)"/m.exec(text)[1].split(" ");
};

const formatSettings = (vm, seeds, store) =>
    [
        `NodeName=${vm.name}`,
        "Role=entry",
        "MachineClass=edge",
        "Serves=edge,control,directory",
        "Ip=127.0.0.1",
        `Zone=${vm.zone}`,
        "Region=bc-south",
        ...["a", "b", "c"].map(zone => `Zones.bc-south-${zone}=bc-south`),
        `Listen.Frontend=127.0.0.1:${vm.ports[0]}`,
        `Listen.Readiness=127.0.0.1:${vm.ports[1]}`,
        `Listen.Control=127.0.0.1:${vm.ports[2]}`,
        `Listen.Directory=127.0.0.1:${vm.ports[3]}`,
        `InternalPorts=${vm.ports[4]},${vm.ports[4]}`,
        `SeedNodes=${seeds.join(",")}`,
        "Bootstrap=true",
        "Limits.CpuShare=0.54",
        "Limits.CpuCores=1",
        "Limits.MemoryMb=350",
        "Limits.MaxFds=4100",
        "Discovery=platform",
        "Entry=directory",
        "Heartbeat=1500ms",
        "Contracts=base,drain,config,cost,retry,recover,health,places,platform",
        "FaultTolerance.Machines=2",
        "FaultTolerance.Zones=1",
        "Bounds.Contact=3000ms",
        "Bounds.Drain=2000ms",
        "Bounds.Grace=6s",
        "Bounds.LossSlack=200ms",
        "Bounds.ConfigApply=2000ms",
        "Bounds.RetryBudgetRatio=0.2",
        "Bounds.RetryWindow=10s",
        "Bounds.RetrySlack=56",
        "Bounds.ttl_max=5s",
        "Bounds.ProbesPerS=60",
        `Platform.Address=${store}`,
        "Platform.form=table",
    ].join("\n");

const isReady = port =>
    new Promise(resolve => {
        const request = http.get({ host: "127.0.0.1", port, path: "/-/ready", agent: false }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        request.setTimeout(1_000, () => request.destroy());
        request.on("error", () => resolve(false));
    });

/**
 * Starts daemons. One that ends by itself is started again after a short delay, as on the platform.
 *
 * @param options.count - number of VMs, in three zones
 * @param options.store - address of the store, or one for each VM
 */
export const startDaemons = async ({ count, store, record }) => {
    const [program, ...args] = readCommand();
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    const ports = await findPorts(count * portsPerDaemon);
    const vms = Array.from({ length: count }, (_, index) => ({
        index,
        name: `edge-${index + 1}`,
        zone: `bc-south-${"abc"[index % 3]}`,
        ports: ports.slice(index * portsPerDaemon, (index + 1) * portsPerDaemon),
        child: undefined,
        startedAtMs: 0,
        /** Times at which its process ended by itself, and for how long it had run. */
        ownEnds: [],
        isStopping: false,
        stderr: "",
    }));
    const seeds = vms.slice(0, 3).map(vm => `127.0.0.1:${vm.ports[2]}`);
    let isClosing = false;

    const start = vm => {
        const settingsPath = path.join(folder, `${vm.name}.conf`);
        fs.writeFileSync(settingsPath, formatSettings(vm, seeds, typeof store === "string" ? store : store[vm.index]));
        const child = childProcess.spawn(program, args, {
            cwd: repository,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, TARRAGONPATH_CONFIG: settingsPath },
            stdio: ["ignore", fs.openSync(path.join(folder, `${vm.name}.log`), "a"), "pipe"],
        });
        vm.child = child;
        vm.startedAtMs = performance.now();
        vm.isStopping = false;
        child.stderr.on("data", chunk => (vm.stderr = (vm.stderr + String(chunk)).slice(-4_000)));
        child.once("exit", (code, signal) => {
            if (isClosing || vm.isStopping) {
                return;
            }
            const nowMs = performance.now();
            vm.ownEnds.push({ atMs: nowMs, ranMs: nowMs - vm.startedAtMs });
            const reason = vm.stderr.split("\n").filter(line => /Error/.test(line));
            record.add(`process of ${vm.name} ended by itself (${code ?? signal}): ${reason[0] ?? ""}`);
            setTimeout(() => void (isClosing || start(vm)), restartDelayMs);
        });
    };
    vms.forEach(start);
    process.once("exit", () => vms.forEach(vm => vm.child.kill("SIGKILL")));

    return {
        vms,
        folder,
        findVm: address => vms.find(vm => address === `127.0.0.1:${vm.ports[0]}`),
        lookupPorts: vms.map(vm => vm.ports[3]),
        /** Sends a signal to the current process of a VM. */
        signal: (vm, name) => {
            vm.isStopping = name === "SIGTERM" || name === "SIGKILL";
            vm.child.kill(name);
        },
        restart: vm => start(vm),
        waitUntilReady: async timeoutMs => {
            const endsAtMs = performance.now() + timeoutMs;
            while (performance.now() < endsAtMs) {
                const ready = await Promise.all(vms.map(vm => isReady(vm.ports[1])));
                if (ready.every(Boolean)) {
                    return true;
                }
                await sleep(100);
            }
            return false;
        },
        close: async () => {
            isClosing = true;
            await Promise.all(
                vms.map(async ({ child }) => {
                    if (child.exitCode === null && child.signalCode === null) {
                        const exited = new Promise(resolve => child.once("exit", resolve));
                        child.kill("SIGCONT");
                        child.kill("SIGKILL");
                        await exited;
                    }
                }),
            );
            fs.rmSync(folder, { recursive: true });
        },
    };
};
