import { HostId, Incarnation } from "../../../../ids/index.js";
import { Lifecycle } from "../../../../lifecycle/index.js";
import { Address, SystemClock, SystemRandom, TcpNetwork } from "../../../../ports/index.js";
import { DEFAULT_PEER_TIMING, encodeFrame, PeerLink, PeerRouter, servePeers } from "../../../../wire/index.js";
import { heapBytes, ROUNDS, timeProcess } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";

const LOOPBACK: Address = { host: "127.0.0.1", port: 0 };
const LINK_COUNTS = [50, 100, 200, 300, 410];
const CALL_RATES = [100, 200, 400, 800];
const IDLE_RUN_MS = 1_500;
const CALL_RUN_MS = 1_000;
const CALL_TIMEOUT_MS = 5_000;
const CALL_INTERVAL_MS = 10;
const ENDS_PER_LINK = 2;
const CONNECT_POLL_MS = 50;
/** Ping frame, as `PeerChannel` sends it. */
const PING_FRAME = [1, 0, ""];

const clock = new SystemClock();
const network = new TcpNetwork();
const random = new SystemRandom();

/** Measures idle peer links and calls over loopback TCP, with both ends in this process. */
export class WireProbe extends Probe {
    readonly name = "wire";

    async run(recorder: SlopeRecorder): Promise<void> {
        for (const links of LINK_COUNTS) await this.measureIdleLinks(links, recorder);
        for (const rate of CALL_RATES) await this.measureCalls(rate, recorder);
    }

    private async measureIdleLinks(count: number, recorder: SlopeRecorder): Promise<void> {
        const before = heapBytes();
        const lifecycle = new Lifecycle();
        await openLinks(count, lifecycle);
        recorder.add("wire.link.heap", count, (heapBytes() - before) / ENDS_PER_LINK);
        for (let round = 0; round < ROUNDS; round++) {
            const { processorMs, elapsedMs } = await timeProcess(() => clock.sleep(IDLE_RUN_MS));
            recorder.add("wire.link.processor", count, processorMs / elapsedMs * 1_000 / ENDS_PER_LINK);
        }
        await lifecycle.close();
        const pingsPerSecond = 1_000 / DEFAULT_PEER_TIMING.heartbeatMs;
        recorder.add("wire.link.bytes", count, count * pingsPerSecond * encodeFrame(PING_FRAME).length);
    }

    private async measureCalls(rate: number, recorder: SlopeRecorder): Promise<void> {
        const lifecycle = new Lifecycle();
        const [link] = await openLinks(1, lifecycle);
        await callAtRate(link, rate);
        for (let round = 0; round < ROUNDS; round++) {
            const { processorMs, elapsedMs } = await timeProcess(() => callAtRate(link, rate));
            recorder.add("wire.call.processor", rate, processorMs / elapsedMs * 1_000 / ENDS_PER_LINK);
        }
        await lifecycle.close();
    }
}

async function openLinks(count: number, lifecycle: Lifecycle): Promise<PeerLink[]> {
    const router = new PeerRouter();
    router.add("echo", body => body);
    const timing = DEFAULT_PEER_TIMING;
    const self = { host: "server" as HostId, incarnation: "1" as Incarnation };
    const listener = await servePeers({ network, clock, address: LOOPBACK, self, router, timing });
    lifecycle.addCleanUp(() => listener.close());
    const links: PeerLink[] = [];
    for (let index = 0; index < count; index++) {
        const linkSelf = { host: `client-${index}` as HostId, incarnation: "1" as Incarnation };
        const address = listener.address;
        const link = new PeerLink({
            network,
            clock,
            random,
            address,
            self: linkSelf,
            router: new PeerRouter(),
            timing,
        });
        lifecycle.child().run(signal => link.run(signal), () => undefined);
        links.push(link);
    }
    while (links.some(link => !link.isOpen)) await clock.sleep(CONNECT_POLL_MS);
    return links;
}

async function callAtRate(link: PeerLink, rate: number): Promise<void> {
    const intervals = CALL_RUN_MS / CALL_INTERVAL_MS;
    const answers: Promise<unknown>[] = [];
    for (let interval = 0; interval < intervals; interval++) {
        const due = Math.round(rate * (interval + 1) / intervals);
        while (answers.length < due) answers.push(link.call("echo", { request: "r-1", tokens: 128 }, CALL_TIMEOUT_MS));
        await clock.sleep(CALL_INTERVAL_MS);
    }
    await Promise.all(answers);
}
