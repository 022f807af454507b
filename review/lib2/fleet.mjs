/** Starts the project's programs with the commands of the deploy file, on loopback addresses, and stand-ins of what is around them. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Whether the disruption is left out. */
export const isCalm = process.env.TROUBLE === "0";

/** Loopback addresses that nobody listens at, by a probe of some ports. */
async function chooseNetwork() {
    for (;;) {
        const prefix = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
        const isFree = await new Promise(done => {
            const probe = net.createServer();
            probe.once("error", () => done(false));
            probe.listen(9_464, `${prefix}.1`, () => probe.close(() => done(true)));
        });
        if (isFree) return prefix;
    }
}

function readCommands() {
    const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const find = role => new RegExp(`\\[roles\\.${role}\\][^[]*?run = "([^"]+)"`).exec(text)[1].split(" ");
    return { control: find("control"), entry: find("entry") };
}

/** A running deployment: control processes, entries, and the stand-in of the platform's API. */
export class Fleet {
    processes = new Map();
    exits = [];
    platformCalls = [];
    lines = [];
    startedAt = Date.now();

    static async start({ controls = 3, entries = 2, tolerated = 1, settings = {} } = {}) {
        const fleet = new Fleet();
        fleet.folder = mkdtempSync(join(tmpdir(), "review-"));
        fleet.prefix = await chooseNetwork();
        fleet.settings = settings;
        fleet.tolerated = tolerated;
        fleet.controls = Array.from({ length: controls }, (_, i) => ({ name: `core-${i + 1}`, role: "control", ip: `${fleet.prefix}.${11 + i}` }));
        fleet.entries = Array.from({ length: entries }, (_, i) => ({ name: `edge-${i + 1}`, role: "entry", ip: `${fleet.prefix}.${31 + i}` }));
        fleet.platform = await fleet.serve(`${fleet.prefix}.2`, 8_223, (req, res) => fleet.answerPlatform(req, res));
        for (const machine of [...fleet.controls, ...fleet.entries]) fleet.launch(machine, true);
        return fleet;
    }

    log(text) {
        this.lines.push(`${((Date.now() - this.startedAt) / 1_000).toFixed(3)} ${text}`);
    }

    launch(machine, isFirst) {
        const { folder, prefix, controls, tolerated } = this;
        const data = join(folder, machine.name);
        mkdirSync(data, { recursive: true });
        const isControl = machine.role === "control";
        const fields = {
            nodeName: machine.name, role: machine.role, machineClass: isControl ? "core" : "edge", serves: isControl ? "control" : "edge",
            ip: machine.ip, zone: "vogar", region: "sudurnes", "zones.vogar": "sudurnes",
            ...(isControl ? { "listen.controlPlane": `${machine.ip}:8229`, dataDir: data }
                : { "listen.frontend": `${machine.ip}:8227`, "listen.ready": `${machine.ip}:8220` }),
            internalPorts: "7340,7355", seeds: controls.slice(0, 3).map(({ ip }) => `${ip}:8229`).join(","), firstStart: isFirst,
            faultCounted: isControl, "limits.cpuShare": 0.675, "limits.cores": 1, "limits.memoryMb": isControl ? 346 : 350,
            "limits.fileDescriptors": 4_100, "limits.linkMbps": "1000.0", "limits.diskMb": isControl ? 128 : 0,
            discovery: "registration", entry: "vip", heartbeatMs: 1_200, contracts: "base,drain,config,cost,retry,recover,engine,stream,tenants,leader",
            "faultTolerance.machines": tolerated, "faultTolerance.zones": 0, "faultTolerance.regions": 0,
            "bounds.seedLagS": 3, "bounds.reuseAfterS": 2, "bounds.contactMs": 3_000, "bounds.ackMs": 4_000, "bounds.catchUpS": 4,
            "bounds.drainMs": 2_000, "bounds.graceS": 8, "bounds.lossSlackMs": 200, "bounds.configApplyMs": 2_000,
            "bounds.downgradeSlackMs": 250, "bounds.maxStretchMs": 5_000, "bounds.strictRevoke": true, "bounds.revokeMs": 5_000,
            "bounds.retryBudgetRatio": 0.2, "bounds.budgetWindowS": 10, "bounds.retryBudgetSlack": 54, "bounds.fencingRequired": false,
            "bounds.leaseMs": 3_000, "bounds.thawMs": 300, "bounds.reportWindowS": 5, "bounds.usageTolerance": 0.05,
            "bounds.usageLateS": 10, "bounds.recoverS": 12, "bounds.passMs": 120, "bounds.againS": 10, configMode: "highest",
            "cloudApi.address": `${prefix}.2:8223`, "cloudApi.ratePerS": "50.0", "cloudApi.duties": "usage_report,autoscale", "cloudApi.dutyPerS": "50.0",
            ...this.settings,
        };
        const file = join(folder, `${machine.name}.conf`);
        writeFileSync(file, Object.entries(fields).map(([name, value]) => `${name}=${value}\n`).join(""));
        const [program, ...args] = readCommands()[machine.role];
        const child = spawn(program, args, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: "C", SEQUOIAMUX_NODE_FILE: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const output = createWriteStream(join(folder, `${machine.name}.log`), { flags: "a" });
        child.stdout.pipe(output, { end: false });
        child.stderr.pipe(output, { end: false });
        child.once("exit", (code, signal) => {
            this.exits.push({ name: machine.name, code, signal, wanted: child.isEnded === true });
            this.log(`process ${machine.name} ends: code ${code}, signal ${signal}`);
        });
        this.processes.set(machine.name, child);
        return child;
    }

    signal(name, signal) {
        const child = this.processes.get(name);
        if (signal === "SIGKILL" || signal === "SIGTERM") child.isEnded = true;
        this.log(`${signal} to ${name}`);
        child.kill(signal);
        return child;
    }

    /** Kills a process and starts it again, as the platform does. */
    async restart(name, pauseMs = 300) {
        const child = this.signal(name, "SIGKILL");
        if (child.exitCode === null && child.signalCode === null) await once(child, "exit");
        await sleep(pauseMs);
        this.launch([...this.controls, ...this.entries].find(machine => machine.name === name), false);
    }

    /** Processes that ended although nobody ended them. */
    get ownEnds() {
        return this.exits.filter(({ wanted }) => !wanted);
    }

    serve(host, port, handler) {
        const server = http.createServer(handler);
        return new Promise((done, fail) => server.once("error", fail).listen(port, host, () => done(server)));
    }

    answerPlatform(req, res) {
        readAll(req).then(body => {
            this.platformCalls.push({ path: req.url, holder: req.headers["sequoiamux-duty-holder"], token: Number(req.headers["sequoiamux-fencing-token"]), body: body.toString(), at: Date.now() });
            res.writeHead(200, { "content-type": "application/json" });
            res.end("{}");
        });
    }

    /** Calls a control process, or one after the other until one answers with 2xx. */
    async operate(method, path, body, { timeoutMs = 20_000, only } = {}) {
        const until = Date.now() + timeoutMs;
        const targets = only ? this.controls.filter(({ name }) => name === only) : this.controls;
        let last;
        for (let at = 0; Date.now() < until; at++) {
            last = await request({ host: targets[at % targets.length].ip, port: 8_229, method, path, body, headers: { "content-type": "application/json" }, timeoutMs: 2_000 }).catch(err => ({ status: 0, body: String(err) }));
            if (last.status >= 200 && last.status < 300) return last;
            if (only || [400, 409, 412, 413, 422].includes(last.status)) return last;
            await sleep(150);
        }
        throw new Error(`${method} ${path}: ${last?.status} ${last?.body}`);
    }

    async awaitReady(timeoutMs = 30_000) {
        const until = Date.now() + timeoutMs;
        for (const { ip } of this.entries) {
            for (;;) {
                const reply = await request({ host: ip, port: 8_220, path: "/readyz", timeoutMs: 1_000 }).catch(() => undefined);
                if (reply?.status === 200) break;
                if (Date.now() > until) throw new Error("the entries do not get ready");
                await sleep(100);
            }
        }
    }

    async stop() {
        for (const child of this.processes.values()) {
            child.isEnded = true;
            if (child.exitCode !== null || child.signalCode !== null) continue;
            child.kill("SIGCONT");
            child.kill("SIGKILL");
            await once(child, "exit");
        }
        this.platform.closeAllConnections();
        this.platform.close();
        if (!process.env.KEEP) rmSync(this.folder, { recursive: true, force: true });
        else console.log(this.folder);
    }
}

export async function readAll(stream) {
    const chunks = [];
    for await (const chunk of stream) chunks.push(chunk);
    return Buffer.concat(chunks);
}

/** Sends a request on a new connection, or by an agent. Rejects where no whole answer comes. */
export function request({ host, port, method = "GET", path, headers = {}, body, timeoutMs = 10_000, agent = false }) {
    return new Promise((done, fail) => {
        const bytes = body === undefined ? undefined : Buffer.isBuffer(body) ? body : Buffer.from(typeof body === "string" ? body : JSON.stringify(body));
        const req = http.request({ host, port, method, path, agent, headers: { ...headers, ...(bytes ? { "content-length": bytes.length } : {}) } }, res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.on("error", fail);
            res.on("close", () => res.complete
                ? done({ status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks).toString() })
                : fail(new Error(`cut off after ${res.statusCode}`)));
        });
        req.setTimeout(timeoutMs, () => req.destroy(new Error("no answer in time")));
        req.on("error", fail);
        req.end(bytes);
    });
}

/** A configuration like that of a small deployment: one plain service, one of model engines. */
export function makeConfig(version, { routes = [], tenants, services = [], limits = {} } = {}) {
    const base = { timeoutMs: 4_000, targetLatencyMs: 300, priority: 2, authExempt: false, sticky: false, resumable: false };
    return {
        version,
        routes: [
            { ...base, name: "r-place", host: "shop.example", pathPrefix: "/place/", kind: "non_idempotent", service: "ledger", maxAttempts: 1 },
            { ...base, name: "r-status", host: "shop.example", pathPrefix: "/status/", kind: "idempotent", service: "ledger", maxAttempts: 2 },
            { ...base, name: "r-draft", host: "shop.example", pathPrefix: "/draft/", kind: "streaming", service: "llm", maxAttempts: 2, resumable: true, sticky: true, targetGapMs: 500, timeoutMs: 10_000 },
            { ...base, name: "r-sheet", host: "shop.example", pathPrefix: "/sheet/", kind: "streaming", service: "llm", maxAttempts: 1, sticky: true, targetGapMs: 500, timeoutMs: 10_000 },
            ...routes,
        ],
        services: [
            { name: "ledger", healthPath: "/healthz", maxConnections: 100, protocol: "h1", tls: false },
            { name: "llm", healthPath: "/healthz", maxConnections: 360, protocol: "h1", tls: false,
                engine: { slots: 64, kvCapacity: 362_531, kvBytes: 18_432, linkMbps: 370_000, moves: true, backups: true, stride: 4, most: 12, pinMs: 4_000, holdMs: 2_000, handleS: 5, models: [{ name: "m" }] } },
            ...services,
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000, ...limits },
        tenants: tenants ?? [{ name: "hule930", apiKeys: ["n2ctnfzs989anu6wsjnb"], priority: 1 }, { name: "fida11", apiKeys: ["kk31tnfzs989anu6wsj2"], priority: 1 }],
    };
}

/** An engine: announces itself, and answers requests by a handler. */
export class Engine {
    runs = [];
    rejected = [];
    sequence = 0;
    state = "ready";
    born = Date.now();

    constructor(fleet, { id, ip, port = 8_080, service = "ledger", slots = 6, handler, isModel = false }) {
        Object.assign(this, { fleet, id, ip, port, service, slots, isModel });
        this.handler = handler ?? (async (req, res, body) => this.answer(req, res, 200, `done ${req.headers["sequoiamux-attempt-id"]}`));
    }

    async start() {
        this.server = await this.fleet.serve(this.ip, this.port, (req, res) => void this.handle(req, res));
        this.server.keepAliveTimeout = 10_000;
        this.beating = true;
        void this.beat();
        return this;
    }

    async handle(req, res) {
        if (req.url === "/healthz") return res.writeHead(this.state === "ready" ? 200 : 503, { "sequoiamux-instance-id": this.id }).end();
        const body = await readAll(req).catch(() => undefined);
        if (!body) return;
        if (req.url === "/report" || req.url === "/kv-list") {
            const report = req.url === "/report"
                ? { stage: "both", models: [{ name: "m", version: 1, adapters: [] }], busy: false, sequence: 0, waiting: 0, running: 0, kvUsed: 0, kvTotal: 362_531, kvHandles: 0 }
                : { epoch: 1, next: 1, held: [] };
            return res.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(report));
        }
        const expected = req.headers["sequoiamux-expect-instance"];
        const attempt = req.headers["sequoiamux-attempt-id"];
        if (expected !== undefined && expected !== this.id) {
            this.rejected.push({ attempt, status: 421, at: Date.now() });
            return res.writeHead(421, { "sequoiamux-attempt-id": attempt, "sequoiamux-not-executed": "1" }).end();
        }
        const run = { attempt, method: req.method, path: req.url, headers: req.headers, body, at: Date.now(), engine: this.id };
        this.runs.push(run);
        this.fleet.log(`engine ${this.id} runs ${attempt} ${req.method} ${req.url}`);
        await this.handler(req, res, body, run);
    }

    answer(req, res, status, text, headers = {}) {
        if (res.destroyed) return;
        res.writeHead(status, { "sequoiamux-attempt-id": req.headers["sequoiamux-attempt-id"], "sequoiamux-response-stamp": "3e1b.07", "content-length": Buffer.byteLength(text), ...headers });
        res.end(text);
    }

    heartbeat(fields = {}) {
        return {
            service: this.service, address: `${this.ip}:${this.port}`, zone: "vogar", version: "v1", slots: this.slots, state: this.state, coldRemainingMs: 0,
            ...(this.isModel ? { stage: "both", models: [{ name: "m", version: 1, adapters: [] }] } : {}), sequence: ++this.sequence, born: this.born, ...fields,
        };
    }

    async beat() {
        while (this.beating) {
            await this.beatOnce();
            await sleep(1_200);
        }
    }

    async beatOnce() {
        const body = this.heartbeat();
        for (let turn = 0; turn < this.fleet.controls.length; turn++) {
            const { ip } = this.fleet.controls[((this.at ?? 0) + turn) % this.fleet.controls.length];
            const reply = await request({ host: ip, port: 8_229, method: "POST", path: `/instances/${this.id}/heartbeat`, body, headers: { "content-type": "application/json" }, timeoutMs: 1_000 }).catch(() => undefined);
            if (reply && reply.status < 300) {
                this.at = ((this.at ?? 0) + turn) % this.fleet.controls.length;
                return true;
            }
        }
        return false;
    }

    stop() {
        this.beating = false;
        this.server.closeAllConnections();
        this.server.close();
    }
}

let attempts = 0;
/** Headers of a client's request. */
export function clientHeaders({ key = "n2ctnfzs989anu6wsjnb", deadlineMs = 4_000, id, ...more } = {}) {
    const attempt = id ?? `${process.pid.toString(16)}${(++attempts).toString(16).padStart(8, "0")}`;
    return { host: "shop.example", "sequoiamux-attempt-id": attempt, "sequoiamux-deadline-ms": String(deadlineMs), authorization: `Token ${key}`, ...more };
}
