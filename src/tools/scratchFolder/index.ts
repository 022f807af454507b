import { mkdir, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";

/** A temporary folder for the files of one test. */
export class ScratchFolder {
    private constructor(readonly path: string) {}

    static async make(): Promise<ScratchFolder> {
        return new ScratchFolder(await mkdtemp(join(tmpdir(), "sequoiamux-")));
    }

    /** Writes a file, creating its parent folders, and returns its path. */
    async write(name: string, text: string): Promise<string> {
        const path = join(this.path, name);
        await mkdir(dirname(path), { recursive: true });
        await writeFile(path, text);
        return path;
    }

    /** Truncates a file to half its size. */
    async truncateToHalf(name: string): Promise<void> {
        const path = join(this.path, name);
        const bytes = await readFile(path);
        await writeFile(path, bytes.subarray(0, bytes.length / 2));
    }

    async remove(): Promise<void> {
        await rm(this.path, { recursive: true, force: true });
    }
}
