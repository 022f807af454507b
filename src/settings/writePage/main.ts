/** Writes `docs/SETTINGS.md` from the table of settings; run it in the repository's folder. */
import { FileDisk } from "../../ports/index.js";
import { formatPage } from "../index.js";

await new FileDisk("docs").replace("SETTINGS.md", Buffer.from(formatPage()));
