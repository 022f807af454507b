// A core machine that freezes for some seconds while another one is replaced is expelled for good.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, sleep } from "../lib/harness.mjs";

const RECOVER_S = 12;

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async (d, hasTrouble) => {
    await d.start();
    if (!await d.replaceConfig(20_000)) throw new Error("no configuration was acknowledged at the start");
    d.startClients(10);
    await sleep(6_000);
    const [first, second, , frozen, gone] = d.cores;
    const [successor] = d.spares;

    // 1. One core machine freezes for 7 s; 0.8 s later another one is gone for good, and its successor comes 1 s later, empty.
    if (hasTrouble) d.signal(frozen, "SIGSTOP");
    await sleep(800);
    d.signal(gone, "SIGKILL");
    await sleep(1_000);
    d.cores = [...d.cores.filter(m => m !== gone), successor];
    d.startMachine(successor, false);
    await sleep(5_200);
    if (hasTrouble) d.signal(frozen, "SIGCONT");

    // 2. All five machines run again, for well over catchUpS (4 s).
    await sleep(10_000);
    if (!await d.replaceConfig(4_000)) throw new Error("no configuration was acknowledged before the final fault");
    const before = d.servedShare(d.now() - 8, d.now());

    // 3. Final fault: two core machines, as many as tolerated, lose their disks.
    for (const m of [first, second]) d.signal(m, "SIGKILL");
    await sleep(500);
    for (const m of [first, second]) {
        d.loseDisk(m);
        d.startMachine(m, false);
    }
    const backAt = d.now();
    await sleep(RECOVER_S * 1_000 + 10_000);
    const after = d.servedShare(backAt + RECOVER_S, d.now() - 4.6);
    const version = await d.readConfig(6_000);

    const show = ({ sent, served }) => `${served} of ${sent}`;
    d.record(`served before the final fault: ${show(before)}; later than ${RECOVER_S} s after the machines were back: ${show(after)}`);
    const broken = [];
    if (before.share >= 0.25 && after.share < 0.25) broken.push(`RECOVER: ${show(after)} requests served`);
    if (version === undefined) broken.push(`CONFIG, LOST: no configuration can be read back; version ${d.acked} was acknowledged`);
    else if (version < d.acked) broken.push(`CONFIG, LOST: version ${version} is read back; version ${d.acked} was acknowledged`);
    return broken;
});
