import { SettingInfo } from "../_lib/setting.js";
import { listSettingRows, SettingRow } from "../_lib/settingRows.js";
import { Settings } from "../schema/index.js";

const PAGE_HEAD = `# Settings

A daemon reads one INI file: \`sequoiamuxd --settings FILE\`. \`sequoiamuxd --check --settings FILE\` judges a file without
starting. The first line that counts is \`role = entry\` or \`role = control\`, before any section. An unknown section or
name, a name that stands twice, a bad value or a clash between two values is one line with file, section, name and what was
expected; the daemon then ends with exit code 2. A comment begins with \`;\` or \`#\`. Samples for both deployments stand in
\`settings/\`.

This page is made from the table in \`src/settings/schema\` by \`npm run settings-page\`; a test compares the two.
`;

/** Generates the Markdown of `docs/SETTINGS.md`. */
export function formatPage(): string {
    return [PAGE_HEAD, formatRole("entry"), formatRole("control")].join("\n");
}

function formatRole(role: Settings["role"]): string {
    const rows = listSettingRows(role);
    const sections = [...new Set(rows.map(row => row.section))];
    const tables = sections.map(section => formatSection(section, rows.filter(row => row.section === section)));
    return [`## role = ${role}\n`, ...tables].join("\n");
}

function formatSection(section: string, rows: readonly SettingRow[]): string {
    const lines = rows.map(({ name, info }) =>
        `| \`${name}\` | ${info.expected} | ${formatDefault(info)} | ${info.doc} |`
    );
    return [`### [${section}]\n`, "| name | value | default | meaning |", "| --- | --- | --- | --- |", ...lines, ""]
        .join("\n");
}

function formatDefault({ defaultText, isRequired }: SettingInfo): string {
    if (defaultText !== undefined) return `\`${defaultText}\``;
    return isRequired ? "required" : "none";
}
