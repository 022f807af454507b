import { Either, Left, Right } from "purify-ts";
import { formatAddress } from "../../ports/index.js";
import { IniEntry, IniFile, readIni } from "../_lib/readIni.js";
import { listRows, SettingRow, toIniName } from "../_lib/rows.js";
import { controlSchema, entrySchema, Settings } from "../schema/index.js";

/** One thing that is wrong with a settings file; `message` is one line for a person. */
export class SettingsError extends Error {
    constructor(
        readonly file: string,
        /** Empty before the first section's heading. */
        readonly section: string,
        /** Empty when the whole section is meant. */
        readonly setting: string,
        /** What is wrong, and what was expected. */
        readonly problem: string,
    ) {
        super([`${file}:`, section && `[${section}]`, setting && `${setting}:`, problem].filter(Boolean).join(" "));
    }
}

type Role = Settings["role"];

const SCHEMAS = { entry: entrySchema, control: controlSchema } as const;

/**
 * Reads a daemon's settings file.
 *
 * @param text - The file's content, as INI.
 * @param fileName - For the error lines.
 * @returns The settings, or everything that is wrong with them.
 * @example
 * parseSettings(text, "entry.ini").caseOf({ Left: printLines, Right: start });
 */
export function parseSettings(text: string, fileName: string): Either<SettingsError[], Settings> {
    const file = readIni(text);
    const role = findRole(file);
    if (!role) return Left([new SettingsError(fileName, "", "role", "expected entry or control")]);
    const rows = listRows(role);
    const strange = findStrangeEntries(file, rows, fileName, role);
    const parsed = SCHEMAS[role].safeParse(shapeForSchema(file, rows, role));
    const bad = (parsed.error?.issues ?? []).map(issue => describeIssue(issue.path, file, rows, fileName));
    if (!parsed.success) return Left([...strange, ...bad]);
    const problems = [...strange, ...findClashes(parsed.data, fileName)];
    return problems.length > 0 ? Left(problems) : Right(parsed.data);
}

function findRole({ entries }: IniFile): Role | undefined {
    const values = entries.find(entry => entry.section === "" && entry.name === "role")?.values ?? [];
    if (values.length !== 1) return undefined;
    return values[0] === "entry" || values[0] === "control" ? values[0] : undefined;
}

/** Sections and names that the role does not have, and names that stand twice. */
function findStrangeEntries(file: IniFile, rows: readonly SettingRow[], fileName: string, role: Role): SettingsError[] {
    const known = [...new Set(rows.map(row => row.section))];
    const sections = file.sections
        .filter(section => !known.includes(section))
        .map(section => {
            const problem = `unknown section for the role ${role}, expected one of ${known.join(", ")}`;
            return new SettingsError(fileName, section, "", problem);
        });
    const names = file.entries.flatMap(entry => {
        const problem = describeStrangeName(entry, rows, known);
        return problem ? [new SettingsError(fileName, entry.section, entry.name, problem)] : [];
    });
    return [...sections, ...names];
}

function describeStrangeName(entry: IniEntry, rows: readonly SettingRow[], known: string[]): string | undefined {
    if (entry.values.length > 1) return "stands twice, expected once";
    if (entry.section === "") return entry.name === "role" ? undefined : "unknown name, expected a section before it";
    if (!known.includes(entry.section)) return undefined;
    const names = rows.filter(row => row.section === entry.section).map(row => row.name);
    return names.includes(entry.name) ? undefined : `unknown name, expected one of ${names.join(", ")}`;
}

function shapeForSchema({ entries }: IniFile, rows: readonly SettingRow[], role: Role): unknown {
    const shaped: Record<string, unknown> = { role };
    for (const { section, name, key } of rows) {
        const found = entries.find(entry => entry.section === section && entry.name === name);
        const values = (shaped[section] ?? {}) as Record<string, string | undefined>;
        shaped[section] = { ...values, [key]: found?.values[0] };
    }
    return shaped;
}

function describeIssue(
    path: readonly PropertyKey[],
    file: IniFile,
    rows: readonly SettingRow[],
    fileName: string,
): SettingsError {
    const [section, key] = path.map(String);
    const name = toIniName(key);
    const expected = rows.find(row => row.section === section && row.key === key)?.info.expected ?? "";
    const found = file.entries.find(entry => entry.section === section && entry.name === name);
    const problem = found ? `expected ${expected}, found "${found.values[0]}"` : `missing, expected ${expected}`;
    return new SettingsError(fileName, section, name, problem);
}

/** Values that are good on their own and wrong beside each other. */
function findClashes(settings: Settings, fileName: string): SettingsError[] {
    const clashes = findListenClashes(settings, fileName);
    const { heartbeatMs, silenceMs } = settings.timing;
    if (silenceMs < 2 * heartbeatMs) {
        const problem = `expected at least twice heartbeat_ms (${2 * heartbeatMs}), found "${silenceMs}"`;
        clashes.push(new SettingsError(fileName, "timing", "silence_ms", problem));
    }
    if (settings.role === "entry") return clashes;
    if (!settings.control.members.some(member => member.host === settings.host.id)) {
        const problem = `expected this host, ${settings.host.id}, among them`;
        clashes.push(new SettingsError(fileName, "control", "members", problem));
    }
    return clashes;
}

function findListenClashes(settings: Settings, fileName: string): SettingsError[] {
    const seen = new Map<string, string>();
    const clashes: SettingsError[] = [];
    for (const [key, address] of Object.entries(settings.listen)) {
        if (address === undefined) continue;
        const text = formatAddress(address);
        const first = seen.get(text);
        if (first && address.port !== 0) {
            const problem = `expected another address than that of ${first}, found "${text}"`;
            clashes.push(new SettingsError(fileName, "listen", toIniName(key), problem));
        }
        seen.set(text, key);
    }
    return clashes;
}
