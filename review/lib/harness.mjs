// A small deployment of the project's own programs on loopback addresses, with stand-ins for engines, clients, the operator and
// the platform. Node.js only, no dependencies.
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { appendFileSync, mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const sleep = ms => new Promise(done => setTimeout(done, ms));
const ZONES = ["north", "south", "west"];
const HOST = "shop.example";
export const KEY = "k0aq81mzz72hcp5d9e4w";
const TENANT = "tenant-a";
const DATA_CORES = { heap: 160, role: "control" };
const EDGES = { heap: 96, role: "entry" };

export class Deployment {
    constructor(folder, options = {}) {
        this.options = { cores: 5, spares: 1, edges: 2, engines: 3, serviceMs: 20, deadlineMs: 4_000, ...options };
        this.recordFile = join(folder, "record.txt");
        writeFileSync(this.recordFile, "");
        this.startedAt = performance.now();
        this.temp = mkdtempSync(join(tmpdir(), "review-"));
        this.children = new Map();
        this.servers = [];
        this.timers = [];
        this.sent = new Map();
        this.version = 0;
        this.acked = 0;
        this.isEnding = false;
    }

    now() { return (performance.now() - this.startedAt) / 1000; }

    record(text) { appendFileSync(this.recordFile, `${this.now().toFixed(3).padStart(8)} ${text}\n`); }

    async start() {
        await this.findAddresses();
        await this.startPlatform();
        this.engines = [];
        for (let i = 0; i < this.options.engines; i++) await this.startEngine(i);
        for (const m of this.cores) this.startMachine(m, true);
        for (const m of this.edges) this.startMachine(m, true);
        this.checkReadiness();
    }

    // All machines use the same ports, each on a loopback address of its own.
    async findAddresses() {
        for (let tries = 0; tries < 50; tries++) {
            const net24 = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
            const base = 12_000 + Math.floor(Math.random() * 18_000);
            const all = Array.from({ length: 40 }, (_, i) => `${net24}.${i + 1}`);
            const ports = [9464, base, base + 1, base + 2, base + 20, base + 21, base + 22, base + 23];
            const checks = all.slice(0, 12).flatMap(ip => ports.map(port => isFree(ip, port)));
            if (!(await Promise.all(checks)).every(Boolean)) continue;
            const { cores, spares, edges } = this.options;
            this.ports = { internal: base, control: base + 20, frontend: base + 21, ready: base + 22, service: base + 23 };
            const make = (cls, i, ip) => ({ name: `${cls}-${i + 1}`, cls, ip, zone: ZONES[i % ZONES.length], life: 0 });
            this.cores = Array.from({ length: cores }, (_, i) => make("core", i, all[i]));
            this.spares = Array.from({ length: spares }, (_, i) => make("core", cores + i, all[cores + i]));
            this.edges = Array.from({ length: edges }, (_, i) => make("edge", i, all[10 + i]));
            this.platformIp = all[19];
            this.engineIps = all.slice(20);
            this.seeds = this.cores.slice(0, 3);
            return;
        }
        throw new Error("no free loopback addresses and ports");
    }

    settingsOf(m, firstStart, seeds) {
        const p = this.ports;
        const lines = [
            `nodeName=${m.name}`, `machineClass=${m.cls}`, `ip=${m.ip}`, `zone=${m.zone}`, "region=land",
            ...ZONES.map(zone => `zones.${zone}=land`),
            `internalPorts=${p.internal},${p.internal + 15}`,
            `seeds=${seeds.map(({ ip }) => `${ip}:${p.control}`).join(",")}`,
            `firstStart=${firstStart}`, `faultCounted=${m.cls === "core"}`,
            "limits.cpuShare=1.0", "limits.cores=1", "limits.memoryMb=350", "limits.fileDescriptors=4100",
            "discovery=registration", "entry=vip", "heartbeatMs=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,leader",
            "faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
            "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4",
            "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000",
            "bounds.downgradeSlackMs=250", "bounds.maxStretchMs=5000", "bounds.strictRevoke=true", "bounds.revokeMs=5000",
            "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.retryBudgetSlack=54",
            "bounds.fencingRequired=false", "bounds.leaseMs=3000", "bounds.thawMs=300", "bounds.reportWindowS=5",
            "bounds.usageTolerance=0.05", "bounds.usageLateS=10", "bounds.recoverS=12", "bounds.passMs=120",
            "bounds.againS=10", "configMode=highest",
            `cloudApi.address=${this.platformIp}:${p.service}`, "cloudApi.ratePerS=50.0",
            "cloudApi.duties=usage_report,autoscale", "cloudApi.dutyPerS=50.0",
            ...(m.cls === "core"
                ? [`listen.controlPlane=${m.ip}:${p.control}`, `dataDir=${this.dataOf(m)}`]
                : [`listen.frontend=${m.ip}:${p.frontend}`, `listen.ready=${m.ip}:${p.ready}`]),
        ];
        return lines.join("\n") + "\n";
    }

    dataOf(m) { return join(this.temp, `${m.name}-data`); }

    startMachine(m, firstStart, seeds = this.seeds) {
        const file = join(this.temp, `${m.name}.conf`);
        if (m.cls === "core") mkdirSync(this.dataOf(m), { recursive: true });
        writeFileSync(file, this.settingsOf(m, firstStart, seeds));
        const { heap, role } = m.cls === "core" ? DATA_CORES : EDGES;
        const out = openSync(join(this.temp, `${m.name}.log`), "a");
        const child = spawn("node", [`--max-old-space-size=${heap}`, "target/boot.cjs", role], {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: this.temp, SEQUOIAMUX_NODE_FILE: file },
            stdio: ["ignore", out, out],
        });
        this.children.set(m.name, child);
        m.isRunning = true;
        this.record(`machine ${m.name} starts at ${m.ip} (firstStart=${firstStart})`);
        child.once("exit", (code, signal) => {
            if (this.children.get(m.name) !== child) return;
            m.isRunning = false;
            if (!this.isEnding) this.record(`machine ${m.name} has ended: ${signal ?? `status ${code}`}`);
        });
    }

    signal(m, name) {
        this.record(`machine ${m.name} gets ${name}`);
        this.children.get(m.name).kill(name);
    }

    loseDisk(m) {
        rmSync(this.dataOf(m), { recursive: true, force: true });
        this.record(`machine ${m.name} has lost its disk`);
    }

    serve(ip, port, handler) {
        const server = http.createServer({ keepAliveTimeout: 15_000 }, handler);
        this.servers.push(server);
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, ip, () => resolve(server));
        });
    }

    async startPlatform() {
        this.calls = [];
        await this.serve(this.platformIp, this.ports.service, async (req, res) => {
            const body = await readBody(req);
            const call = {
                path: req.url, holder: req.headers["sequoiamux-duty-holder"],
                token: Number(req.headers["sequoiamux-fencing-token"]), from: req.socket.remoteAddress, body: body.toString(),
            };
            this.calls.push(call);
            this.record(`platform gets ${call.path} from ${call.holder} token ${call.token}: ${call.body}`);
            res.writeHead(200, { "content-type": "application/json" }).end("{}");
        });
    }

    async startEngine(i) {
        const engine = { id: `i-${randomBytes(4).toString("hex")}`, ip: this.engineIps[i], sequence: 0, born: Date.now(), target: i, runs: 0, running: 0, lastRuns: [], atWork: new Set() };
        this.engines.push(engine);
        const { serviceMs } = this.options;
        engine.server = await this.serve(engine.ip, this.ports.service, async (req, res) => {
            const echo = {
                "sequoiamux-instance-id": engine.id,
                "sequoiamux-instance-load": `${engine.running},0,8`,
            };
            if (req.url === "/healthz") return res.writeHead(200, echo).end();
            const attempt = req.headers["sequoiamux-attempt-id"];
            await readBody(req);
            if (attempt === undefined) return res.writeHead(400, { ...echo, "sequoiamux-not-executed": "1" }).end();
            echo["sequoiamux-attempt-id"] = attempt;
            const expected = req.headers["sequoiamux-expect-instance"];
            if (expected !== undefined && expected !== engine.id) {
                return res.writeHead(421, { ...echo, "sequoiamux-not-executed": "1" }).end();
            }
            engine.running++;
            engine.runs++;
            engine.lastRuns.push({ at: this.now(), attempt });
            this.record(`engine ${engine.id} runs ${attempt} (${req.method} ${req.url})`);
            if (this.options.spoil?.(engine, attempt, req.socket)) return engine.running--;
            engine.atWork.add(attempt);
            await sleep(serviceMs);
            engine.atWork.delete(attempt);
            engine.running--;
            const stamp = `${engine.id}.${engine.runs}.${randomBytes(4).toString("hex")}`;
            res.writeHead(200, { ...echo, "sequoiamux-response-stamp": stamp, "content-type": "text/plain" }).end(`answer to ${attempt}`);
        });
        engine.nextBeat = () => ({
            service: "ledger", address: `${engine.ip}:${this.ports.service}`, zone: ZONES[i % ZONES.length], version: "v1",
            slots: 8, state: "ready", coldRemainingMs: 0, sequence: ++engine.sequence, born: engine.born,
        });
        const beat = async () => {
            const body = engine.nextBeat();
            for (let n = 0; n < this.cores.length; n++) {
                const m = this.cores[engine.target % this.cores.length];
                const reply = await call(`${m.ip}:${this.ports.control}`, "POST", `/instances/${engine.id}/heartbeat`, body, 1_000);
                if (reply?.status === 200) return;
                engine.target++;
            }
        };
        const repeat = async () => {
            while (!this.isEnding && !engine.isLeaving) {
                await beat();
                await sleep(1_200);
            }
        };
        void repeat();
    }

    // An engine leaves without having reported "draining": it deregisters and goes on serving for a while.
    async deregister(engine, limitMs) {
        engine.isLeaving = true;
        const until = performance.now() + limitMs;
        for (let n = 0; performance.now() < until; n++) {
            const m = this.cores[(engine.target + n) % this.cores.length];
            const reply = await call(`${m.ip}:${this.ports.control}`, "POST", `/instances/${engine.id}/deregister`, undefined, 1_000);
            this.record(`engine ${engine.id} deregisters at ${m.name}: ${reply?.status ?? "no response"}`);
            if (reply?.status === 200) return true;
        }
        return false;
    }

    /** Ends an engine's process: its port closes, and what runs there is lost. Returns the attempts that were running. */
    exitEngine(engine) {
        engine.server.close();
        engine.server.closeAllConnections();
        this.record(`engine ${engine.id} exits; it was at work on ${[...engine.atWork].join(" ") || "nothing"}`);
        return [...engine.atWork];
    }

    config(version, extraRoutes = []) {
        const route = (name, pathPrefix, kind, maxAttempts) => ({
            name, host: HOST, pathPrefix, kind, timeoutMs: 4_000, targetLatencyMs: 300, priority: 1, service: "ledger", maxAttempts,
            authExempt: false, sticky: false, resumable: false,
        });
        return {
            version,
            routes: [route("r-read", "/read/", "idempotent", 2), route("r-place", "/place/", "non_idempotent", 1), ...extraRoutes],
            services: [{ name: "ledger", healthPath: "/healthz", maxConnections: 100, protocol: "h1", tls: false }],
            limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
            tenants: [{ name: TENANT, apiKeys: [KEY] }],
        };
    }

    // The operator: sends the same order to one core machine after the other until one acknowledges it.
    async replaceConfig(limitMs, version = ++this.version) {
        const until = performance.now() + limitMs;
        this.record(`operator sends configuration ${version}`);
        for (let n = 0; performance.now() < until; n++) {
            const m = this.cores[n % this.cores.length];
            const reply = await call(`${m.ip}:${this.ports.control}`, "POST", "/config/replace", this.config(version), 1_000);
            if (reply?.status === 200) {
                this.acked = version;
                this.record(`configuration ${version} is acknowledged by ${m.name}`);
                return true;
            }
            await sleep(100);
        }
        this.record(`configuration ${version} has no acknowledgement after ${limitMs} ms`);
        return false;
    }

    // Reads the configuration at every core machine in turn until one answers 200.
    async readConfig(limitMs) {
        const until = performance.now() + limitMs;
        const seen = new Map();
        for (let n = 0; performance.now() < until; n++) {
            const m = this.cores[n % this.cores.length];
            const reply = await call(`${m.ip}:${this.ports.control}`, "GET", "/config/read", undefined, 1_000);
            if (reply?.status === 200) {
                const { version } = JSON.parse(reply.body);
                this.record(`configuration read at ${m.name}: version ${version}`);
                return version;
            }
            const text = `configuration read at ${m.name}: ${reply ? `${reply.status} ${reply.body}` : "no response"}`;
            if (seen.get(m.name) !== text) this.record(text);
            seen.set(m.name, text);
            await sleep(100);
        }
        return undefined;
    }

    // The platform's balancer: asks each entry once per second; two misses take it out of rotation.
    checkReadiness() {
        const misses = new Map();
        const look = async () => {
            if (this.isEnding) return;
            await Promise.all(this.edges.map(async m => {
                const reply = await call(`${m.ip}:${this.ports.ready}`, "GET", "/readyz", undefined, 1_000);
                misses.set(m.name, reply?.status === 200 ? 0 : (misses.get(m.name) ?? 0) + 1);
            }));
            this.rotation = this.edges.filter(m => misses.get(m.name) < 2);
            setTimeout(look, 1_000);
        };
        void look();
    }

    // Clients: perS requests each second, each on a new connection, without retries.
    startClients(perS) {
        const tick = () => {
            if (this.isEnding || this.clientsStopped) return;
            void this.sendRequest();
            setTimeout(tick, 1_000 / perS);
        };
        tick();
    }

    async sendRequest() {
        const { deadlineMs } = this.options;
        const isRead = Math.random() < 0.5;
        const attempt = randomBytes(8).toString("hex");
        const pool = this.rotation?.length ? this.rotation : this.edges;
        const m = pool[Math.floor(Math.random() * pool.length)];
        const item = { attempt, at: this.now(), entry: m.name, isRead };
        this.sent.set(attempt, item);
        const path = `${isRead ? "/read/" : "/place/"}${attempt}`;
        const reply = await call(`${m.ip}:${this.ports.frontend}`, isRead ? "GET" : "POST", path, isRead ? undefined : "order", deadlineMs + 500, {
            "host": HOST, "sequoiamux-attempt-id": attempt, "sequoiamux-deadline-ms": String(deadlineMs), "authorization": `Token ${KEY}`,
        });
        item.endedAt = this.now();
        item.status = reply?.status;
        if (reply) item.answeredAt = item.endedAt;
        item.isServed = reply?.status === 200 && reply.headers["sequoiamux-response-stamp"] !== undefined && reply.body === `answer to ${attempt}`;
        this.record(`request ${attempt} sent at ${item.at.toFixed(3)} to ${m.name}: ${reply ? reply.status : "no answer"}${item.isServed ? " served" : ""}`);
    }

    // Share of the requests sent in a span that were served.
    servedShare(fromS, toS) {
        const all = [...this.sent.values()].filter(({ at, endedAt }) => at >= fromS && at < toS && endedAt !== undefined);
        const served = all.filter(({ isServed }) => isServed).length;
        return { sent: all.length, served, share: all.length === 0 ? 0 : served / all.length };
    }

    async end(isKept = false) {
        this.isEnding = true;
        const ended = [...this.children.values()].map(child => child.exitCode !== null || child.signalCode !== null
            ? undefined
            : new Promise(done => {
                child.once("exit", done);
                child.kill("SIGCONT");
                child.kill("SIGKILL");
            }));
        await Promise.all(ended);
        for (const server of this.servers) {
            server.close();
            server.closeAllConnections();
        }
        if (!isKept) rmSync(this.temp, { recursive: true, force: true });
    }
}

export function call(address, method, path, body, timeoutMs, headers = {}) {
    const [host, port] = address.split(":");
    const bytes = body === undefined ? undefined : Buffer.from(typeof body === "string" ? body : JSON.stringify(body));
    return new Promise(resolve => {
        const type = typeof body === "object" ? { "content-type": "application/json" } : {};
        const length = bytes ? { "content-length": String(bytes.length) } : {};
        const req = http.request({ host, port, method, path, headers: { ...type, ...length, ...headers }, agent: false });
        const timer = setTimeout(() => req.destroy(new Error("timeout")), timeoutMs);
        const end = value => {
            clearTimeout(timer);
            resolve(value);
        };
        req.on("error", () => end(undefined));
        req.on("response", async res => {
            try {
                const text = (await readBody(res)).toString();
                end(res.complete ? { status: res.statusCode, headers: res.headers, body: text } : undefined);
            }
            catch {
                end(undefined);
            }
        });
        req.end(bytes);
    });
}

async function readBody(stream) {
    const chunks = [];
    for await (const chunk of stream) chunks.push(chunk);
    return Buffer.concat(chunks);
}

function isFree(ip, port) {
    return new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => server.close(() => resolve(true)));
    });
}

// Runs a case: exit status 1 if its rule was broken, 0 if it held, 2 if it could not run.
export async function runCase(folder, options, play) {
    const d = new Deployment(folder, options);
    const stop = async status => {
        await d.end(process.env.KEEP === "1");
        if (process.env.KEEP === "1") console.log(d.temp);
        process.exit(status);
    };
    const limit = setTimeout(() => {
        d.record("the case took too long");
        void stop(2);
    }, 115_000);
    for (const name of ["SIGINT", "SIGTERM"]) process.on(name, () => void stop(2));
    try {
        const broken = await play(d, process.env.TROUBLE !== "0");
        clearTimeout(limit);
        const text = broken.length > 0 ? `BROKEN: ${broken.join("; ")}` : "held";
        d.record(text);
        console.log(text);
        await stop(broken.length > 0 ? 1 : 0);
    }
    catch (err) {
        d.record(`could not run: ${err.stack}`);
        console.log(`could not run: ${err.message}`);
        await stop(2);
    }
}
