/** The program `emulator`: emulates the platform, engines and services over TCP in one process. */
import { cac } from "cac";
import { parse } from "ini";
import { basename, dirname } from "node:path";
import { FileDisk, formatAddress, NodeHttp, SeededRandom, SystemClock } from "../ports/index.js";
import { ControlApi } from "./controlApi/index.js";
import { Emulator } from "./emulator/index.js";
import { emulatorSettingsSchema, readEmulatorSettings, SettingsError } from "./emulatorSettings/index.js";
import { KeyWatch } from "./keyWatch/index.js";

const EXIT_BAD_SETTINGS = 2;

function parseFlags(): Record<string, unknown> | undefined {
    const cli = cac("emulator");
    cli.option("--config <file>", "INI file; its section [emulator] takes the same names as the flags");
    for (const name of Object.keys(emulatorSettingsSchema.shape)) {
        const flag = name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
        cli.option(`--${flag} <value>`, `default: ${JSON.stringify(emulatorSettingsSchema.parse({})[name as never])}`);
    }
    cli.example("emulator --engines 8 --services 4 --zones keflavik,vogar --entries 127.0.0.1:7101,127.0.0.1:7102");
    cli.help();
    const { options } = cli.parse();
    return options.help ? undefined : options;
}

async function readIni(path: string): Promise<Record<string, unknown>> {
    const bytes = await new FileDisk(dirname(path)).read(basename(path));
    if (!bytes) throw new SettingsError(`${path}: no such file`);
    return { ...parse(Buffer.from(bytes).toString()).emulator };
}

/** Returns the given flags without `--config` and the entries that the parser adds. */
function pickKnown(flags: Record<string, unknown>): Record<string, unknown> {
    return Object.fromEntries(Object.entries(flags).filter(([name]) => name !== "--" && name !== "config"));
}

async function main(): Promise<void> {
    const flags = parseFlags();
    if (!flags) return;
    const fromFile = typeof flags.config === "string" ? await readIni(flags.config) : {};
    const settings = readEmulatorSettings({ ...fromFile, ...pickKnown(flags) }).caseOf({
        Left: err => {
            throw err;
        },
        Right: value => value,
    });
    const http = new NodeHttp();
    const keyWatch = new KeyWatch();
    const ports = { clock: new SystemClock(), random: new SeededRandom(settings.seed), http, keyWatch };
    const emulator = new Emulator(ports, settings);
    const platform = await emulator.startAll();
    const control = await new ControlApi(http, emulator, keyWatch).start({
        host: settings.host,
        port: settings.controlPort,
    });
    console.log(JSON.stringify({
        event: "ready",
        platform: formatAddress(platform),
        control: formatAddress(control.address),
        upstreams: emulator.addresses(),
    }));
    const stop = (): void => void emulator.close().then(() => process.exit(0));
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
}

main().catch((err: unknown) => {
    console.error(`emulator: ${(err as Error).message}`);
    process.exit(EXIT_BAD_SETTINGS);
});
