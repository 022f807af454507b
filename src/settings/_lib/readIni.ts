import { parse } from "ini";

/** One setting of a file. A name that occurs twice in its section has two values. */
export interface IniEntry {
    /** Empty before the first section's heading. */
    readonly section: string;
    readonly name: string;
    readonly values: readonly string[];
}

/** Content of an INI file. */
export interface IniFile {
    readonly sections: readonly string[];
    readonly entries: readonly IniEntry[];
}

/**
 * Parses INI text.
 *
 * @example
 * readIni("role = entry\n[host]\nid = a").sections; // ["host"]
 */
export function readIni(text: string): IniFile {
    // Without bracketed arrays the library keeps all values of a name that occurs twice instead of only the last, so that
    // duplicate settings can be reported as errors.
    const parsed = parse(text, { bracketedArray: false }) as Record<string, unknown>;
    const sections: string[] = [];
    const entries: IniEntry[] = [];
    for (const [key, value] of Object.entries(parsed)) {
        if (!isSection(value)) {
            entries.push({ section: "", name: key, values: toTexts(value) });
            continue;
        }
        sections.push(key);
        for (const [name, inner] of Object.entries(value)) {
            entries.push({ section: key, name, values: toTexts(inner) });
        }
    }
    return { sections, entries };
}

function isSection(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}

function toTexts(value: unknown): string[] {
    return Array.isArray(value) ? value.map(String) : [String(value)];
}
