const KILO = 1_000;

/** A number of bytes, with a unit. */
export function formatBytes(bytes: number): string {
    const units = ["B", "KB", "MB", "GB", "TB"];
    let value = bytes;
    let unit = 0;
    while (Math.abs(value) >= KILO && unit < units.length - 1) {
        value /= KILO;
        unit++;
    }
    return `${formatNumber(value)} ${units[unit]}`;
}

/** Milliseconds of processor time a second, and the share of a core that they are. */
export function formatProcessor(msPerSecond: number): string {
    return `${formatNumber(msPerSecond)} ms/s (${formatNumber(msPerSecond / 10)} % of a core)`;
}

/** Three significant digits, without an exponent. */
export function formatNumber(value: number): string {
    if (value === 0) return "0";
    const digits = Math.max(0, 2 - Math.floor(Math.log10(Math.abs(value))));
    return value.toLocaleString("en-US", { maximumFractionDigits: Math.min(digits, 4) });
}
